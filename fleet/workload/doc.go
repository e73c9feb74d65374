// Package workload holds the types of jobs, queues, workers, machines and runs that the scheduler and the platform adapters share.
package workload
