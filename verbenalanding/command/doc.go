// Package command implements the command line of the daemon.
package command
