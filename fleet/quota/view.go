package quota

import "verbenalanding.example/fleet/workload"

// View says, for operators, what a workspace may run and how its limit is divided among the pools.
type View struct {
	Workspace string             `json:"workspace"`
	Weight    float64            `json:"weight"`
	Limit     workload.Resources `json:"limit"`
	// Record is how the store divides the limit; empty for a workspace without one.
	Record Record `json:"record,omitzero"`
}
