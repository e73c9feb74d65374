package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/node"
)

// Version is set at build time by -ldflags "-X verbenalanding.example/verbenaentry/command.Version=1.2.3".
var Version = "development"

// The exit codes of the program.
const (
	ExitOK = iota
	// ExitFailed means that the program failed while it ran.
	ExitFailed
	// ExitUsage means that the command line or a setting is wrong.
	ExitUsage
	// ExitListen means that the node cannot listen on an address.
	ExitListen
)

type options struct {
	Settings string     `long:"settings" value-name:"PATH" description:"settings file; the one in $VERBENALANDING_SETTINGS, or else that of the platform, if not given"`
	Check    bool       `long:"check" description:"check the settings file, print the result and exit"`
	Version  bool       `long:"version" description:"print the version and exit"`
	Node     node.Flags `group:"Node"`
}

// Run parses the command line, runs the node and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var o options
	parser := flags.NewNamedParser("verbenaentry", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	extraArgs, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, flagsErr.Message)
		return ExitOK
	}
	if err == nil && len(extraArgs) > 0 {
		err = fmt.Errorf("unexpected argument %q", extraArgs[0])
	}
	if err == nil {
		err = o.Node.Check()
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if o.Version {
		fmt.Fprintln(out, "verbenaentry", Version)
		return ExitOK
	}
	o.Settings = settingsPath(o.Settings, errOut)
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if o.Check {
		fmt.Fprintln(out, "settings are valid: node", settings.Node, "in data centre", settings.DataCentre)
		return ExitOK
	}
	return serve(settings, o, out, errOut)
}

// deprecatedVariable is a former name of platform.SettingsVariable.
const deprecatedVariable = "VERBENA_SETTINGS"

// settingsPath returns the path of the settings file that the command line or the environment names, or an empty string.
func settingsPath(flag string, errOut io.Writer) string {
	if path := cmp.Or(flag, os.Getenv(platform.SettingsVariable)); path != "" {
		return path
	}
	path := os.Getenv(deprecatedVariable)
	if path != "" {
		fmt.Fprintf(errOut, "%s is deprecated, use %s\n", deprecatedVariable, platform.SettingsVariable)
	}
	return path
}

func serve(settings platform.Settings, o options, out, errOut io.Writer) int {
	err := node.Run(context.Background(), settings, o.Settings, o.Node, out)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, node.ErrListen):
		fmt.Fprintln(errOut, err)
		return ExitListen
	default:
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
}
