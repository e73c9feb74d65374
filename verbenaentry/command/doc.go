// Package command implements the command line of verbenaentry.
package command
