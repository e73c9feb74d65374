// Package node runs an entry instance, also called a node: it serves the requests of callers and the calls of other nodes, and carries out
// the duties that it holds. There is one duty for each pool: its holder schedules the pool's tasks, moves machines between pools and runs the
// upkeep of the pool's machines.
package node
