package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/operator/reason"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// placementCall is the parameter of methodPlacement.
type placementCall struct {
	Pool string       `json:"pool"`
	Job  workload.Job `json:"job"`
}

// placement is the answer to methodPlacement, and to operators.
type placement struct {
	dispatch.Placement
	// Holder is the node that holds the pool, Configuration the version of the configuration by which it decides.
	Holder        string `json:"holder"`
	Configuration int64  `json:"configuration"`
}

// placementPause is the least time between two answers of a pool: a plan waits for an answer, which takes
// several times as long as a plan and some 25 ms with 65,000 tasks.
const placementPause = 200 * time.Millisecond

var (
	errPlacementBusy    = errors.New("the pool has just answered another question; repeat the call")
	errWorkspaceMissing = errors.New("workspace: missing; the queue takes jobs of a workspace only")
	errWorkspaceUnused  = errors.New("workspace: jobs of an anonymous queue belong to none")
)

// placement answers methodPlacement.
func (p *pool) placement(j workload.Job) (placement, error) {
	if err := j.Check(); err != nil {
		return placement{}, err
	}
	j.Pool = p.name
	a := placement{Holder: p.node.Settings.Node}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placedAt.IsZero() && p.node.Clock.Now().Sub(p.placedAt) < placementPause {
		return a, errPlacementBusy
	}
	if c := p.node.View.Configuration(); c != nil {
		a.Configuration = c.Version
	}
	a.Placement = p.scheduler.Place(j, p.node.Clock.Now())
	p.placedAt = p.node.Clock.Now()
	return a, nil
}

// askPlacement asks the holder of a queue's pool where a job would go now.
func (n *Node) askPlacement(ctx context.Context, j workload.Job) (answer placement, err error) {
	if held := n.pools.get(j.Pool); held != nil {
		answer, err = held.placement(j)
	} else {
		err = n.callHolder(ctx, j.Pool, methodPlacement, placementCall{j.Pool, j}, &answer)
	}
	if err != nil {
		return answer, errors.Join(errHoldersMissing, err)
	}
	if answer.Refusal != nil {
		after := n.outlooks.peekReturnAfter(j.Pool, answer.Refusal.Refusal(), n.Clock.Now())
		answer.Refusal.RetryAfterSeconds = int(after / time.Second)
	}
	return answer, nil
}

// peekReturnAfter returns after how long the caller of a refused job would be asked to come back, without counting it as refused.
func (o *outlooks) peekReturnAfter(pool string, r *dispatch.Refusal, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var returns dispatch.Returns
	if known := o.returns[pool]; known != nil {
		returns = *known
	}
	return returns.After(r, now)
}

// termsOf returns the queue with a name as a call of a workspace finds it.
func termsOf(c *workload.Configuration, name, workspace string) (workload.Queue, error) {
	i := slices.IndexFunc(c.Queues, func(q workload.Queue) bool { return q.Name == name })
	if i < 0 {
		return workload.Queue{}, fmt.Errorf("queue %q: %w", name, errUnknownQueue)
	}
	q := c.Queues[i]
	switch {
	case workspace != "" && !slices.ContainsFunc(c.Workspaces, func(w workload.Workspace) bool { return w.Name == workspace }):
		return q, fmt.Errorf("workspace %q: %w", workspace, errUnknownWorkspace)
	case workspace != "" && q.Anonymous:
		return q, errWorkspaceUnused
	case workspace == "" && len(c.Workspaces) > 0 && !q.Anonymous:
		return q, errWorkspaceMissing
	}
	return q, nil
}

// placeForOperator serves the question where a job would go. The body is the job as a caller would send it.
func (n *Node) placeForOperator(w http.ResponseWriter, r *http.Request) {
	c := n.View.Configuration()
	if c == nil {
		n.refuseOperator(w, http.StatusServiceUnavailable, reason.NotReady, "no configuration yet")
		return
	}
	workspace := r.URL.Query().Get("workspace")
	q, err := termsOf(c, chi.URLParam(r, "name"), workspace)
	if err != nil {
		n.refusePlacement(w, err)
		return
	}
	content, release, err := n.readJob(r.Context(), r, n.maxBodyBytes(c.MaxBodyBytes))
	if err != nil {
		cause, status := refusalOf(err)
		if cause != "" {
			n.countRefusal(listenerReadiness, cause, r.RemoteAddr)
		}
		w.Header().Set("Connection", "close")
		n.refuseOperator(w, status, reasonOf(status), "body: "+err.Error())
		return
	}
	defer release()
	job, err := platform.DecodeJob(content)
	if err != nil {
		n.refusePlacement(w, err)
		return
	}
	job.Queue, job.Pool, job.Terms, job.Workspace, job.Accepted = q.Name, q.Pool, q, workspace, n.Clock.Now()
	if err := n.checkSize(job); err != nil {
		n.refusePlacement(w, err)
		return
	}
	answer, err := n.askPlacement(r.Context(), *job)
	if err != nil {
		n.refusePlacement(w, err)
		return
	}
	n.answerExplanation(w, answer, nil)
}

// refusePlacement answers a question that cannot be answered with the field and the reason.
func (n *Node) refusePlacement(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errUnknownQueue), errors.Is(err, errUnknownWorkspace):
		status = http.StatusNotFound
	case errors.Is(err, errWorkspaceMissing), errors.Is(err, errWorkspaceUnused):
		status = http.StatusBadRequest
	case errors.Is(err, workload.ErrInvalidJob):
		n.refuseOperator(w, http.StatusBadRequest, reason.Refused, err.Error())
		return
	case errors.Is(err, errJobTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errPlacementBusy):
		n.refuseOperator(w, status, reason.Busy, errPlacementBusy.Error())
		return
	case errors.Is(err, errHoldersMissing):
		err = errors.New("the holder of the queue's pool has not answered")
	}
	n.refuseOperator(w, status, reasonOf(status), err.Error())
}

// reasonOf returns the reason of an operator's problem with a status.
func reasonOf(status int) string {
	switch status {
	case http.StatusNotFound:
		return reason.NotFound
	case http.StatusRequestEntityTooLarge:
		return reason.Refused
	case http.StatusBadRequest, http.StatusRequestTimeout:
		return reason.Invalid
	case http.StatusInternalServerError:
		return reason.Internal
	}
	return reason.Unavailable
}

// operatorProblem is the RFC 9457 body of an answer to an operator, with the fields of message.Problem that this program uses: package message would
// bring the parser of declarations with it, which takes 6 MB of each node's memory.
type operatorProblem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
}

// refuseOperator answers an operator's call with a problem.
func (n *Node) refuseOperator(w http.ResponseWriter, status int, why, detail string) {
	n.answerProblem(w, status, operatorProblem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Reason: why})
}
