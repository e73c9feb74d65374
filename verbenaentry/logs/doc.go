// Package logs writes log lines without blocking the caller: a Writer queues lines in a bounded ring and drops lines while it is full. A
// Budget limits the number of lines per second.
package logs
