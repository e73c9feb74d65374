// Package days simulates whole days of entry instances, the platform's stand-in and its workers in one process. It uses a synctest bubble
// with simulated time and an in-memory network, injects overlapping random faults, and checks the promises against what workers and callers
// observe.
package days
