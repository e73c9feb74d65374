// Package tenure decides which node holds a duty: a key in the store under the node's lease, whose creation revision is the
// holder's fencing token.
package tenure
