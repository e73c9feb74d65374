package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// The exit codes of the program.
const (
	ExitOK = iota
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
)

// streams holds the context and the output of a command.
type streams struct {
	ctx context.Context
	out io.Writer
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("verbenabench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range subcommands(streams{ctx: ctx, out: out}) {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			fmt.Fprintln(errOut, err)
			return ExitFailed
		}
	}
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return ExitOK
	}
	fmt.Fprintln(errOut, err)
	if flagError != nil {
		return ExitUsage
	}
	return ExitFailed
}
