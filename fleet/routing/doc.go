// Package routing chooses the backend server for each attempt of a request.
//
// A Router uses no I/O, clock, goroutine or random source and is not safe for concurrent use: one goroutine owns it
// and passes the current time and random numbers. There is one Router per pool and entry instance.
//
// A caller drives a Router as follows.
//
//   - SetMembers is called first and on every change of the pool's members or their states; SetEntries when the number of
//     registered entry instances changes; SetQuota after fleet/admission recomputed its quotas.
//   - Pick returns the instance for one attempt. If the attempt is made, Started is called immediately, then Finished
//     exactly once when the attempt ends, both with the same expected service time. Without Started nothing needs to be
//     undone.
//   - Tick is called about every 100 ms. It ejects instances that hold requests without answering.
//   - Probes is called after Tick. It returns the instances to probe without a caller's request, for example by
//     OPTIONS * on a new connection with a time-out of ProbeTimeout, where any complete HTTP response is a success. These
//     are ejected instances, and suspected ones whose requests are overdue. The caller reports each result with Probed.
//     An ejected instance whose probe succeeds gets single requests first; a suspected one whose probe fails is ejected.
//   - After Finished, Tick and Probed the caller reads Changes, and passes the usable state of these members to
//     fleet/admission. Repeatable requests at an instance ejected as Unreachable need not wait for their deadlines: the caller
//     may abandon such an attempt as TimedOut if fleet/retry allows another one.
package routing
