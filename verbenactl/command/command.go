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

// Version is the version of the program, set by the linker. If it is empty, the version of the main module is used.
var Version = ""

// options are the flags that all commands share.
type options struct {
	Servers   []string      `long:"server" env:"VERBENA_SERVERS" env-delim:"," default:"http://127.0.0.1:8081" value-name:"URL" description:"operators' address of an entry instance; may be repeated, the addresses are tried in turn"`
	Token     string        `long:"token" env:"VERBENA_TOKEN" description:"operator's token; visible to other users of the machine on a command line, so prefer the environment or --token-file"`
	TokenFile string        `long:"token-file" env:"VERBENA_TOKEN_FILE" value-name:"FILE" description:"file with the operator's token"`
	CAFile    string        `long:"ca-file" env:"VERBENA_CA_FILE" value-name:"FILE" description:"PEM file with the certificates to trust; the system's certificates if not given"`
	Timeout   time.Duration `long:"timeout" env:"VERBENA_TIMEOUT" default:"40s" description:"timeout of each attempt of a call"`
	Retries   int           `long:"retries" env:"VERBENA_RETRIES" default:"4" description:"maximum number of retries of a call that got no answer or a temporary refusal"`
	JSON      bool          `long:"json" env:"VERBENA_JSON" description:"print answers and errors as JSON"`
	Version   bool          `long:"version" env:"VERBENA_PRINT_VERSION" description:"print the version and exit"`
}

// command is a command with its flags as fields.
type command interface {
	run(s *session, args []string) error
}

// session holds the streams, context and options of one command line.
type session struct {
	Streams
	ctx     context.Context
	options *options
}

// namedCommand is a command with its name and a short description.
type namedCommand struct {
	name, short string
	command     command
}

// commands returns all commands of verbenactl.
func commands() []namedCommand {
	return []namedCommand{
		{"apply", "apply declarations from files or folders", &applyCommand{}},
		{"diff", "show the changes that declarations would make and their effects", &diffCommand{}},
		{"export", "print the declarations in force", &exportCommand{}},
		{"fmt", "rewrite declaration files in canonical format", &formatCommand{}},
		{"query", "run one statement, for example: query show wave", &queryCommand{}},
		{"prompt", "run statements interactively", &promptCommand{}},
		{"job", "say why a job of the users' platform waits, and when it is likely to start", &jobCommand{}},
		{"queue", "say why the jobs of a queue of the users' platform wait", &queueCommand{}},
		{"place", "say where a job of the users' platform would go now, without sending it", &placeCommand{}},
		{"workspace", "show how the limit of a workspace of the users' platform is divided", &workspaceCommand{}},
		{"report", "print a report: burn, waves or moves", &reportCommand{}},
		{"hash-token", "create a token and its entry for the tokens file", &hashTokenCommand{}},
		{"version", "print the versions of this program and of the daemon", &versionCommand{}},
	}
}

// Run runs one command line and returns the exit code.
func Run(args []string, s Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := &options{}
	err := runCommand(args, &session{Streams: s, ctx: ctx, options: o})
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprint(s.Out, flagsErr.Message)
		return ExitOK
	}
	if err == nil {
		return ExitOK
	}
	return printError(s.Err, o.JSON, err)
}

func runCommand(args []string, s *session) error {
	parser := flags.NewNamedParser("verbenactl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Common options", "", s.options); err != nil {
		return err
	}
	named := commands()
	for _, c := range named {
		added, err := parser.AddCommand(c.name, c.short, c.short, c.command)
		if err != nil {
			return err
		}
		// A statement may contain words that look like flags, so no flag is parsed after its first word.
		added.PassAfterNonOption = c.name == "query"
	}
	remaining, err := parser.ParseArgs(args)
	if err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return err
		}
		return usageErrorf("%s", joinLines(err.Error()))
	}
	if s.options.Version {
		fmt.Fprintf(s.Out, "verbenactl %s\n", versionText())
		return nil
	}
	if parser.Active == nil {
		return usageErrorf("no command is given")
	}
	for _, c := range named {
		if c.name == parser.Active.Name {
			return c.command.run(s, remaining)
		}
	}
	return usageErrorf("unknown command %s", parser.Active.Name)
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

// client returns an API client with the servers and the token of the options.
func (s *session) client() (*client.Client, error) {
	o := s.options
	token := strings.TrimSpace(o.Token)
	if o.TokenFile != "" {
		text, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, usageErrorf("--token-file: %v", err)
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, usageErrorf("no token is given; set VERBENA_TOKEN_FILE or --token-file")
	}
	c, err := s.anonymousClient()
	if err != nil {
		return nil, err
	}
	c.Token = token
	return c, nil
}

// anonymousClient returns an API client without a token.
func (s *session) anonymousClient() (*client.Client, error) {
	o := s.options
	if o.Retries < 0 || o.Timeout <= 0 {
		return nil, usageErrorf("--retries must not be negative and --timeout must be above 0")
	}
	h, err := client.NewHTTP(o.CAFile, o.Timeout)
	if err != nil {
		return nil, usageErrorf("--ca-file: %v", err)
	}
	for _, server := range o.Servers {
		if !strings.HasPrefix(server, "http://") && !strings.HasPrefix(server, "https://") {
			return nil, usageErrorf("--server %s: want a URL such as https://10.0.0.1:8081", server)
		}
	}
	return &client.Client{Servers: o.Servers, HTTP: h, Retries: o.Retries}, nil
}

// print writes the value as JSON with the flag --json, and the text otherwise.
func (s *session) print(value any, text string) error {
	if s.options.JSON {
		return writeJSON(s.Out, value)
	}
	_, err := io.WriteString(s.Out, text)
	return err
}
