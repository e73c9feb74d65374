// Package logs writes log lines without blocking the caller: lines wait in a bounded ring, and each kind of line has a budget
// per second.
package logs
