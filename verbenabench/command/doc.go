// Package command implements the command line of verbenabench.
package command
