// Package pacing decides how long a process that is short of processor time pauses between the rounds of its periodic work. It uses no I/O, clock,
// goroutine or random source.
package pacing
