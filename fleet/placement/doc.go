// Package placement assigns jobs to workers. It is a pure state machine: no I/O, clock, goroutines or randomness.
package placement
