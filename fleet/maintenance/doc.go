// Package maintenance executes the decisions of the packages budget, wave and move on the store and the platform.
//
// A pool's loop is the only writer of the records of the pool's instances and of their reservations. A wave's loop
// writes only the wave's record: it lists the instances to stop, and the loops of their pools stop them.
//
// An unanswered write may still take effect later. The loop therefore rewrites the record before it relies on what it
// reads, so that the late write fails its compare-and-swap.
package maintenance
