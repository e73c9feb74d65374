// Package clock reads the time from a clock that a caller may replace.
package clock
