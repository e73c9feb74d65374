// Package command parses the command line and runs the commands of verbenactl.
package command
