// Package quarantine decides whether a worker or a job kind is at fault when jobs fail. It performs no I/O and reads no clock.
package quarantine
