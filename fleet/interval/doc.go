// Package interval repeats work at a fixed interval until a context ends.
package interval
