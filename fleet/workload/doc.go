// Package workload holds the types of jobs, queues, workers, machines and runs that decisions and adapters share.
package workload
