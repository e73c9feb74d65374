// Package interval waits, once or at a fixed interval, until a context ends.
package interval
