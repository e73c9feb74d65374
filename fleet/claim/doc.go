// Package claim decides which request may run for an idempotency key, so that at most one runs per key. It does no I/O.
package claim
