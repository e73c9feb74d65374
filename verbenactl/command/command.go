package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenalanding.example/verbenactl/client"
)

// Streams are the standard streams of the process.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Version is set by the linker; without it the version of the module is used.
var Version = ""

// options are the flags of every command.
type options struct {
	Servers   []string      `long:"server" env:"VERBENA_SERVERS" env-delim:"," default:"http://127.0.0.1:8081" value-name:"URL" description:"operators' address of an entry instance; repeat it to name others that are tried in turn"`
	Token     string        `long:"token" env:"VERBENA_TOKEN" description:"operator's token; other users of the machine can see it on a command line, so prefer the environment or --token-file"`
	TokenFile string        `long:"token-file" env:"VERBENA_TOKEN_FILE" value-name:"FILE" description:"file with the operator's token"`
	CAFile    string        `long:"ca-file" env:"VERBENA_CA_FILE" value-name:"FILE" description:"PEM file with the certificates to trust; those of the system without it"`
	Timeout   time.Duration `long:"timeout" env:"VERBENA_TIMEOUT" default:"40s" description:"longest time for one attempt of a call"`
	Retries   int           `long:"retries" env:"VERBENA_RETRIES" default:"4" description:"how often a call is repeated when no answer came"`
	JSON      bool          `long:"json" env:"VERBENA_JSON" description:"print answers and errors as JSON"`
	Version   bool          `long:"version" env:"VERBENA_PRINT_VERSION" description:"print the version and exit"`
}

// runner is a command with its flags.
type runner interface {
	run(s *session, args []string) error
}

// session is what a command works with.
type session struct {
	Streams
	ctx     context.Context
	options *options
}

// entry is a command by its name with what it does.
type entry struct {
	name, short string
	runner      runner
}

// commands lists the commands with what they do.
func commands() []entry {
	return []entry{
		{"apply", "apply declarations from files or folders", &apply{}},
		{"diff", "tell what declarations would change and cause", &diff{}},
		{"export", "print the declarations in force", &export{}},
		{"fmt", "put files of declarations into canonical format", &format{}},
		{"query", "state one statement, for example: query show wave", &query{}},
		{"prompt", "state statements interactively", &prompting{}},
		{"report", "print a report: burn, waves or moves", &report{}},
		{"hash-token", "make a token and its entry for the tokens file", &hashToken{}},
		{"version", "print the versions of this program and of the daemon", &version{}},
	}
}

// Run runs one command line and returns the exit code.
func Run(args []string, s Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := &options{}
	err := dispatch(args, &session{Streams: s, ctx: ctx, options: o})
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprint(s.Out, help.Message)
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	return fail(s.Err, o.JSON, err)
}

func dispatch(args []string, s *session) error {
	parser := flags.NewNamedParser("verbenactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Common options", "", s.options); err != nil {
		return err
	}
	all := commands()
	for _, c := range all {
		added, err := parser.AddCommand(c.name, c.short, c.short, c.runner)
		if err != nil {
			return err
		}
		// A statement may hold words that look like flags.
		added.PassAfterNonOption = c.name == "query"
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		var wrong *flags.Error
		if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
			return err
		}
		return usage("%s", oneLine(err.Error()))
	}
	if s.options.Version {
		fmt.Fprintf(s.Out, "verbenactl %s\n", versionText())
		return nil
	}
	if parser.Active == nil {
		return usage("no command is given")
	}
	for _, c := range all {
		if c.name == parser.Active.Name {
			return c.runner.run(s, rest)
		}
	}
	return usage("unknown command %s", parser.Active.Name)
}

func versionText() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// client returns a client for the given servers and token.
func (s *session) client() (*client.Client, error) {
	o := s.options
	token := strings.TrimSpace(o.Token)
	if o.TokenFile != "" {
		text, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, usage("--token-file: %v", err)
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, usage("no token is given; set VERBENA_TOKEN_FILE or --token-file")
	}
	if o.Retries < 0 || o.Timeout <= 0 {
		return nil, usage("--retries must not be negative and --timeout must be above 0")
	}
	h, err := client.NewHTTP(o.CAFile, o.Timeout)
	if err != nil {
		return nil, usage("--ca-file: %v", err)
	}
	for _, server := range o.Servers {
		if !strings.HasPrefix(server, "http://") && !strings.HasPrefix(server, "https://") {
			return nil, usage("--server %s: want a URL such as https://10.0.0.1:8081", server)
		}
	}
	return &client.Client{Servers: o.Servers, Token: token, HTTP: h, Retries: o.Retries}, nil
}

// print writes a value as JSON, or as the text that it is rendered to.
func (s *session) print(value any, text string) error {
	if s.options.JSON {
		return writeJSON(s.Out, value)
	}
	_, err := io.WriteString(s.Out, text)
	return err
}
