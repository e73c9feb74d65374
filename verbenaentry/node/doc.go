// Package node runs an entry instance, also called a node: it serves the requests of callers and the calls of other nodes, and carries out
// the duties of the pools that it holds. A duty is one pool: its holder schedules the pool's tasks, moves its machines and runs their upkeep.
package node
