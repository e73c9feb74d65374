// Package target compares measurements with their targets and prints the verdicts.
package target
