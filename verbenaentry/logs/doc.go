// Package logs writes log lines without ever blocking the caller: lines wait in a bounded ring, and each kind of line has a
// budget a second.
package logs
