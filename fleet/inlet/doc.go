// Package inlet carries the decisions of intake out: a Listener keeps the number of its connections bounded, and a Room reads clients' messages
// into buffers of a bounded size in all.
package inlet
