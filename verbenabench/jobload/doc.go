// Package jobload submits jobs to entry instances that run against the platform's stand-in, and measures latencies and store calls.
package jobload
