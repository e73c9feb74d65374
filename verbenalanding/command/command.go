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
	"github.com/rs/zerolog"

	"verbenalanding.example/verbenalanding/daemon"
	"verbenalanding.example/verbenalanding/demo"
	"verbenalanding.example/verbenalanding/settings"
)

// Version is set at build time by -ldflags "-X verbenalanding.example/verbenalanding/command.Version=1.2.3".
var Version = "development"

// Exit codes of the program.
const (
	ExitOK = iota
	// ExitFailed means that the program failed while it ran.
	ExitFailed
	// ExitUsage means that the command line or a setting is invalid.
	ExitUsage
	// ExitListen means that an address cannot be bound.
	ExitListen
	// ExitInvariantViolated means that the demonstration detected a violated invariant.
	ExitInvariantViolated
)

type options struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var o options
	o.Version = func() { panic(versionRequested{}) }
	parser := flags.NewNamedParser("verbenalanding", flags.HelpFlag|flags.PassDoubleDash)
	serveCmd := &serveCommand{ctx: ctx, out: errOut}
	demoCmd := &demoCommand{ctx: ctx, out: out}
	if err := register(parser, &o, serveCmd, demoCmd); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return exitCode(parseArgs(parser, args), out, errOut)
}

func register(p *flags.Parser, o *options, serveCmd *serveCommand, demoCmd *demoCommand) error {
	if _, err := p.AddGroup("Options", "", o); err != nil {
		return err
	}
	if _, err := p.AddCommand("serve", "Run an entry instance", "Runs an entry instance until SIGINT or SIGTERM, then finishes its requests in flight and exits with 0.", serveCmd); err != nil {
		return err
	}
	_, err := p.AddCommand("demo", "Run a demonstration", "Runs both sample deployments in one process for less than 60 s, prints the progress and exits with 4 if an invariant was violated.", demoCmd)
	return err
}

// versionRequested is the panic value with which --version aborts the parser, which would otherwise require a command.
type versionRequested struct{}

var errVersion = errors.New("version requested")

func parseArgs(p *flags.Parser, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(versionRequested); !ok {
				panic(r)
			}
			err = errVersion
		}
	}()
	_, err = p.ParseArgs(args)
	return err
}

// exitCode prints the result of the command and returns its exit code.
func exitCode(err error, out, errOut io.Writer) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errVersion):
		fmt.Fprintln(out, "verbenalanding", Version)
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return ExitOK
	}
	fmt.Fprintln(errOut, err)
	switch {
	case errors.As(err, &flagsErr), errors.Is(err, settings.ErrInvalid):
		return ExitUsage
	case errors.Is(err, daemon.ErrListen):
		return ExitListen
	case errors.Is(err, demo.ErrInvariantViolated):
		return ExitInvariantViolated
	}
	return ExitFailed
}

type serveCommand struct {
	settings.Settings
	ctx context.Context
	out io.Writer
}

// Execute runs an entry instance.
func (c *serveCommand) Execute(_ []string) error {
	if err := errors.Join(settings.CheckProcessEnvironment(), c.Check()); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fmt.Errorf("%w: --log-level: %w", settings.ErrInvalid, err)
	}
	log := zerolog.New(c.out).Level(level).With().Timestamp().Logger()
	d := &daemon.Daemon{Settings: c.Settings, Version: Version, Log: log}
	return d.Run(c.ctx)
}

type demoCommand struct {
	Seed    int64 `long:"seed" default:"1" description:"seed of the callers' traffic"`
	Verbose bool  `long:"verbose" description:"print the log lines of the entry instances"`
	ctx     context.Context
	out     io.Writer
}

// Execute runs the demonstration.
func (c *demoCommand) Execute(_ []string) error {
	d := &demo.Demo{Seed: c.Seed, Verbose: c.Verbose, Out: c.out}
	return d.Run(c.ctx)
}
