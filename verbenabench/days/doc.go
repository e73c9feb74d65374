// Package days plays whole days of entry instances, the stand-in of the platform and its workers in one process, in a bubble of simulated
// time with a network in memory, under drawn faults that overlap, and checks what workers and callers saw.
package days
