// Package jobs accepts jobs and runs the duty loop of a jobs shard, which applies the decisions of placement and quarantine to the
// store and the workers.
package jobs
