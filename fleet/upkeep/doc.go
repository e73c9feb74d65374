// Package upkeep plans which machines of a wave go into upkeep next. It uses no I/O, clock, goroutine or random source.
package upkeep
