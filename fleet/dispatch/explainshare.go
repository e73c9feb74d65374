package dispatch

import "fmt"

// workspaceExplanation says what the workspace of a job has of the pool; it is empty for a job that belongs to no workspace of the configuration.
type workspaceExplanation struct {
	Workspace string `json:"workspace,omitempty"`
	// Owed is false for a job beyond the rate that its workspace is owed.
	Owed bool `json:"owed,omitempty"`
	// Weight is the number of jobs a second that the workspace is owed, RateHere the part of them at this pool.
	Weight   float64 `json:"weight,omitempty"`
	RateHere float64 `json:"rateHere,omitempty"`
	// Share is the largest part of one resource of the pool that runs of the workspace occupy.
	Share float64 `json:"share,omitempty"`
}

// workspaceOf returns what the workspace of a job has of the pool.
func (x *explainer) workspaceOf(j *job) workspaceExplanation {
	w := x.pool.workspaces[j.Workspace]
	if w == nil {
		return workspaceExplanation{}
	}
	return workspaceExplanation{
		Workspace: w.Name, Owed: !j.beyond, Weight: w.Weight, RateHere: w.Weight * w.meter.Share(x.now), Share: dominantShare(j.account.reservedUse, x.pool.capacity()),
	}
}

// explainShare names the share as the reason of a job that waits for capacity and that its workspace is not owed.
func (e *Explanation) explainShare() {
	if e.Reason != WaitNoCapacity || e.Workspace == "" || e.Owed {
		return
	}
	e.Reason = WaitShare
	e.Basis = fmt.Sprintf("%s is owed %.3g jobs a second, %.3g of them at this pool, and has %.3g of it; %s", e.Workspace, e.Weight, e.RateHere, e.Share, e.Basis)
}
