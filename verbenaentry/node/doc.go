// Package node runs an entry instance on the platform: callers' requests, the duties of pools that it holds, and the calls
// of other nodes.
package node
