// Package dispatch decides for one pool which task runs on which worker: it issues starts, stops and pace orders, and lists the job
// records that must be stored before the end of a run is acknowledged. It uses no I/O, clock, goroutine or random source.
package dispatch
