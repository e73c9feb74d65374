// Package metering decides which arrivals of a workspace are within the rate that it is owed, where its work arrives at several pools with different
// holders. It uses no clock, I/O or goroutine.
package metering
