// Package quota divides the limit of a workspace among the pools in which its jobs run.
//
// Each pool has a grant, a part of the limit, in a record that the workspace has in the store. A pool's holder starts a task only if all runs that may
// be present in its pool then fit into the pool's grant, so that all pools together stay within the limit while none asks another one before a start.
// The package decides how a record changes; it uses no clock, I/O or goroutine.
package quota
