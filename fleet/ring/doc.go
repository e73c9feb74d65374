// Package ring provides bounded queues between goroutines that reject items when full.
package ring
