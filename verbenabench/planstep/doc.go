// Package planstep measures the steps of the scheduler of one pool: the time of one plan with many waiting tasks, by the number of workers, and the error of the
// starts that it estimates for jobs that wait.
package planstep
