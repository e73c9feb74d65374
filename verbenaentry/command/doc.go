// Package command is the command line of verbenaentry.
package command
