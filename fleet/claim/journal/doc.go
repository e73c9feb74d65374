// Package journal runs a claim shard: it answers claims and keeps their journal in the store.
package journal
