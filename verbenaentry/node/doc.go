// Package node runs an entry instance on the platform: it serves callers' requests and the calls of other nodes, and carries
// out the duties of the pools that it holds.
package node
