// Package retry decides whether a failed attempt is retried.
//
// A Budget uses no I/O, clock, goroutine or random source and is not safe for concurrent use. There is one Budget per
// pool and entry instance. The caller calls Request once per request at its first attempt, and Decide after each
// attempt that did not return a complete response. On Retry it waits Decision.Delay and picks another instance; the
// request keeps its slot.
package retry
