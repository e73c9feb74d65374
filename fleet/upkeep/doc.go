// Package upkeep plans which machines of a wave start their upkeep next. It uses no I/O, clock, goroutine or random source.
package upkeep
