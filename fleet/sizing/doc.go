// Package sizing decides how many machines a pool takes from the standby pool and which ones it releases. It uses no I/O, clock,
// goroutine or random source.
package sizing
