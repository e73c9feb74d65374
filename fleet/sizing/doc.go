// Package sizing decides how many machines a pool takes from the standby pool and which it gives back. It uses no I/O, clock,
// goroutine or random source.
package sizing
