// Package chart loads state machines from JSON files (state charts) and interprets them.
package chart
