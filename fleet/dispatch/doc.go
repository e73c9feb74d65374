// Package dispatch decides for one pool which task runs on which worker: starts, stops, paces, and what must be recorded
// before an end is acknowledged. It uses no I/O, clock, goroutine or random source.
package dispatch
