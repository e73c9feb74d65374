package command

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

func equal[T comparable](t *testing.T, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", name, got, want)
	}
}

func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("error: got %v, want none", err)
	}
}

func contains(t *testing.T, name, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Fatalf("%s: got %q, want it to contain %q", name, text, want)
	}
}

// emptyFleet provides no records, and reports with only their kind and format.
type emptyFleet struct{}

func (emptyFleet) Entries(context.Context) ([]operator.Entry, error)          { return nil, nil }
func (emptyFleet) Instances(context.Context) ([]record.Instance, error)       { return nil, nil }
func (emptyFleet) Budgets(context.Context) ([]record.Budget, error)           { return nil, nil }
func (emptyFleet) Waves(context.Context) ([]record.Wave, error)               { return nil, nil }
func (emptyFleet) Moves(context.Context) ([]record.Move, error)               { return nil, nil }
func (emptyFleet) Jobs(context.Context) ([]record.Job, error)                 { return nil, nil }
func (emptyFleet) Refusals(context.Context) ([]operator.Refusal, error)       { return nil, nil }
func (emptyFleet) Quarantined(context.Context) ([]operator.Quarantine, error) { return nil, nil }
func (emptyFleet) Report(_ context.Context, kind, format string) (operator.Rendered, error) {
	return operator.Rendered{ContentType: "text/plain", Body: []byte(kind + " " + format + "\n")}, nil
}

const (
	operatorToken = "operator-token-0123456789-0123456789"
	readerToken   = "reader-token-0123456789-0123456789ab"
)

// testDaemon serves the operators' API with a change log in a stand-in of the store. It can lose answers.
type testDaemon struct {
	log  *configuration.Log
	url  string
	file string

	mu            sync.Mutex
	answersToLose int
	changeIDs     []string
	// dropNextLost drops the next call whose answer is to be lost before it takes effect, and then calls afterDrop.
	dropNextLost bool
	afterDrop    func()
}

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	d := &testDaemon{log: &configuration.Log{Store: standin.NewStore(), Validate: declaration.Validate, Now: time.Now}}
	noError(t, d.log.CatchUp(context.Background()))
	var all []operator.Credential
	for name, token := range map[string]string{"operator": operatorToken, "reader": readerToken} {
		hash, err := operator.HashToken(token)
		noError(t, err)
		all = append(all, operator.Credential{Identity: operator.Identity{Name: name, Role: operator.Role(name)}, Hash: hash})
	}
	text, err := json.Marshal(all)
	noError(t, err)
	path := filepath.Join(t.TempDir(), "tokens.json")
	noError(t, os.WriteFile(path, text, 0o600))
	api := (&operator.Server{Configuration: d.log, Records: emptyFleet{}, Reports: emptyFleet{}, Tokens: &operator.Tokens{File: path}}).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(api, w, r) }))
	t.Cleanup(server.Close)
	d.url = server.URL
	d.file = filepath.Join(t.TempDir(), "pool.verbena")
	noError(t, os.WriteFile(d.file, []byte(poolFile), 0o600))
	return d
}

// serve forwards a call to the API. While answers are to be lost, it closes the connection instead of answering.
func (d *testDaemon) serve(api http.Handler, w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	var request struct {
		ChangeID string `json:"changeId"`
	}
	_ = json.Unmarshal(body.Bytes(), &request)
	r.Body = http.NoBody
	if body.Len() > 0 {
		r.Body = readCloser{bytes.NewReader(body.Bytes())}
	}
	if r.URL.Path == message.VersionPath {
		api.ServeHTTP(w, r)
		return
	}
	d.mu.Lock()
	d.changeIDs = append(d.changeIDs, request.ChangeID)
	isLost := d.answersToLose > 0
	d.answersToLose--
	d.mu.Unlock()
	if isLost && d.dropNextLost {
		d.dropNextLost = false
		d.afterDrop()
		panic(http.ErrAbortHandler)
	}
	if isLost {
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	api.ServeHTTP(w, r)
}

// loseAnswers loses the answers of the next n calls.
func (d *testDaemon) loseAnswers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answersToLose = n
}

// ids returns the change ids of all calls.
func (d *testDaemon) ids() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.changeIDs)
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func (d *testDaemon) run(input string, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"--server", d.url, "--token", operatorToken, "--retries", "1"}, args...)
	code = Run(all, Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func (d *testDaemon) revision(t *testing.T) uint64 {
	t.Helper()
	_, revision, err := d.log.Current()
	noError(t, err)
	return revision
}

const poolFile = `pool desk {
  instances = 9
  minimum = 6
  maximum = 12
  slots = 8
  connections = 64
  cores = 64
  memory = 128GB
}
`

// Guards against different outcomes with the same exit code, and against errors without advice for the operator.
func TestExitCodes(t *testing.T) {
	d := newTestDaemon(t)
	broken := filepath.Join(t.TempDir(), "broken.verbena")
	noError(t, os.WriteFile(broken, []byte("pool desk {\n  instances = -1\n"), 0o600))
	for _, c := range []struct {
		name  string
		args  []string
		input string
		code  int
		want  string
	}{
		{"apply", []string{"apply", "-f", d.file}, "", ExitOK, "accepted as revision 1"},
		{"apply again", []string{"apply", d.file}, "", ExitOK, "nothing to change; revision 1"},
		{"apply from standard input", []string{"apply", "-f", "-"}, strings.Replace(poolFile, "= 9", "= 10", 1), ExitOK, "accepted as revision 2"},
		{"old base", []string{"apply", "--base", "1", "-f", d.file}, "", ExitConflict, "the other change, revision 2 by operator:\npool desk {\n  instances = 10"},
		{"diff", []string{"diff", "-f", d.file}, "", ExitOK, "instances: 10 -> 9"},
		{"diff with exit code", []string{"diff", "--exit-code", "-f", d.file}, "", ExitDifferent, "apply the files"},
		{"export", []string{"export"}, "", ExitOK, "# Revision 2\n\npool desk {\n  instances = 10\n"},
		{"export as JSON", []string{"--json", "export"}, "", ExitOK, `"revision": 2`},
		{"query", []string{"query", "show", "pool", "where", "instances", ">", "9"}, "", ExitOK, "1 of 1 rows at revision 2"},
		{"query that finds nothing", []string{"query", "why", "job", "j1"}, "", ExitNotFound, "check the name"},
		{"query with an unknown field", []string{"query", "show pool where colour = red"}, "", ExitRefused, `statement:1:17: found field "colour"`},
		{"edit of a decision", []string{"query", "move instance x to pool y"}, "", ExitRefused, "decisions of the system cannot be edited"},
		{"broken file", []string{"apply", "-f", broken}, "", ExitRefused, "broken.verbena:2:17: found the end, expected a field such as name = value, or }"},
		{"refused by the daemon", []string{"apply", "-f", "-"}, "resume wave weekly\n", ExitRefused, `-:1:1: found wave "weekly", expected a declared wave`},
		{"report", []string{"report", "burn", "--format", "html"}, "", ExitOK, "burn html"},
		{"report as JSON", []string{"--json", "report", "waves"}, "", ExitOK, "waves json"},
		{"unknown report", []string{"report", "cost"}, "", ExitUsage, "report takes one of burn, waves, moves"},
		{"unknown flag", []string{"apply", "--force"}, "", ExitUsage, "unknown flag"},
		{"unknown command", []string{"destroy"}, "", ExitUsage, "see verbenactl --help"},
		{"no files", []string{"apply"}, "", ExitUsage, "name files or a folder with -f"},
		{"missing file", []string{"apply", "-f", "/nonexistent"}, "", ExitUsage, "no such file"},
		{"change id", []string{"apply", "--change-id", "1", "-f", "-"}, poolFile, ExitUsage, `changeId "1" is not a UUID`},
		{"wrong token", []string{"--token", "x", "export"}, "", ExitUnauthorized, "check VERBENA_TOKEN_FILE"},
		{"reader applies", []string{"--token", readerToken, "apply", "-f", d.file}, "", ExitUnauthorized, "use a token with the role operator"},
		{"no token", []string{"--token", "", "export"}, "", ExitUsage, "no token is given"},
		{"apply over a later change", []string{"apply", "-f", d.file}, "", ExitOK, "accepted as revision 3"},
		{"not a daemon", []string{"--server", "ftp://x", "export"}, "", ExitUsage, "want a URL"},
		{"version", []string{"--version"}, "", ExitOK, "verbenactl"},
		{"versions", []string{"version"}, "", ExitOK, "at revision 3"},
		{"help", []string{"--help"}, "", ExitOK, "Available commands"},
		{"token hash", []string{"hash-token", "--name", "ana", "--stdin"}, operatorToken + "\n", ExitOK, `"name":"ana","role":"reader","hash":"sha256:`},
		{"short token", []string{"hash-token", "--name", "ana", "--stdin"}, "secret\n", ExitUsage, "token is shorter than 32 characters"},
		{"prompt", []string{"prompt"}, "show pool\nwhy job x\nexit\nshow team\n", ExitOK, "1 of 1 rows"},
	} {
		code, out, errs := d.run(c.input, c.args...)
		if code != c.code {
			t.Fatalf("%s: got exit code %d (%s%s), want %d", c.name, code, out, errs, c.code)
		}
		contains(t, c.name, out+errs, c.want)
		equal(t, c.name+" writes answers and errors apart", code == ExitOK && c.name != "prompt", errs == "")
	}
	var stdout, stderr bytes.Buffer
	t.Setenv("VERBENA_TOKEN", operatorToken)
	t.Setenv("VERBENA_SERVERS", "http://127.0.0.1:1,"+d.url)
	equal(t, "next server", Run([]string{"export"}, Streams{Out: &stdout, Err: &stderr}), ExitOK)
	t.Setenv("VERBENA_SERVERS", "http://127.0.0.1:1")
	t.Setenv("VERBENA_RETRIES", "0")
	equal(t, "unreachable", Run([]string{"apply", "-f", d.file}, Streams{Err: &stderr}), ExitUnreachable)
	contains(t, "unreachable", stderr.String(), "nothing was applied; check the addresses in --server")
	stderr.Reset()
	equal(t, "error as JSON", Run([]string{"--json", "apply", "-f", broken}, Streams{Err: &stderr}), ExitRefused)
	contains(t, "error as JSON", stderr.String(), `"exitCode": 3`)
}

// Guards against a change that is applied twice, or reported as not applied, because its answer was lost.
func TestRepeatAfterLostAnswerAppliesOnce(t *testing.T) {
	d := newTestDaemon(t)
	d.loseAnswers(1)
	code, out, errs := d.run("", "apply", "-f", d.file)
	equal(t, "exit code", code, ExitOK)
	contains(t, "answer", out+errs, "revision 1")
	equal(t, "revision", d.revision(t), 1)
	equal(t, "calls", len(d.ids()), 2)
	equal(t, "change id of the repetition", d.ids()[1], d.ids()[0])

	d.loseAnswers(2)
	code, _, errs = d.run(strings.Replace(poolFile, "= 9", "= 10", 1), "apply", "-f", "-")
	equal(t, "exit code without any answer", code, ExitUnknown)
	id := d.ids()[2]
	contains(t, "error", errs, "(change id "+id+")")
	contains(t, "error", errs, "repeat the command with the same --change-id")
	code, out, errs = d.run(strings.Replace(poolFile, "= 9", "= 10", 1), "apply", "--change-id", id, "-f", "-")
	equal(t, "exit code of the repetition", code, ExitOK)
	contains(t, "answer", out+errs, "revision 2")
	equal(t, "revision", d.revision(t), 2)

	d.loseAnswers(1)
	d.afterDrop = func() {
		other := strings.Replace(poolFile, "= 9", "= 11", 1)
		_, _, errs := d.run(other, "apply", "-f", "-")
		equal(t, "error of the other operator", errs, "")
	}
	d.dropNextLost = true
	code, _, errs = d.run("", "apply", "-f", d.file)
	equal(t, "exit code after another change in between", code, ExitConflict)
	contains(t, "error", errs, "the other change, revision 3 by operator")

	d.loseAnswers(2)
	code, _, errs = d.run("", "export")
	equal(t, "exit code of a query without any answer", code, ExitUnreachable)
	contains(t, "error", errs, "nothing was applied")
}

// Guards against a client that trusts any certificate, or that does not trust those of --ca-file.
func TestCertificates(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":"1.2.3","revision":4}`))
	}))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	noError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	args := []string{"--server", server.URL, "--token", readerToken, "--retries", "0"}
	var out, errs bytes.Buffer
	equal(t, "trusted", Run(append(args, "--ca-file", file, "version"), Streams{Out: &out, Err: &errs}), ExitOK)
	contains(t, "answer", out.String(), "daemon 1.2.3 at revision 4")
	equal(t, "not trusted", Run(append(args, "version"), Streams{Out: &out, Err: &errs}), ExitUnreachable)
	contains(t, "error", errs.String(), "certificate")
}

// Guards against fmt losing a file, replacing a symbolic link, or passing --check for a file that it would change.
func TestFormatKeepsLinksAndChecks(t *testing.T) {
	d := newTestDaemon(t)
	folder := t.TempDir()
	target, link := filepath.Join(folder, "target"), filepath.Join(folder, "link.verbena")
	noError(t, os.WriteFile(target, []byte("pool desk{instances=9}# end"), 0o640))
	noError(t, os.Symlink(target, link))
	code, out, _ := d.run("", "fmt", "--check", folder)
	equal(t, "exit code of check", code, ExitDifferent)
	equal(t, "named file", out, link+"\n")
	code, _, _ = d.run("", "fmt", folder)
	equal(t, "exit code", code, ExitOK)
	text, err := os.ReadFile(target)
	noError(t, err)
	equal(t, "formatted", string(text), "pool desk {\n  instances = 9\n}  # end\n")
	info, err := os.Lstat(link)
	noError(t, err)
	equal(t, "still a link", info.Mode()&os.ModeSymlink != 0, true)
	code, _, _ = d.run("", "fmt", "--check", folder)
	equal(t, "exit code of the second check", code, ExitOK)
	noError(t, os.WriteFile(target, []byte("pool {"), 0o640))
	code, _, errs := d.run("", "fmt", folder)
	equal(t, "exit code for a broken file", code, ExitRefused)
	contains(t, "problem", errs, "link.verbena:1:6")
}

// Guards against a flag without an environment variable, and against flags, exit codes and commands that are missing from the
// page of verbenactl.
func TestFlagsHaveEnvironmentVariablesAndDocs(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "verbenactl.md"))
	noError(t, err)
	page := string(text)
	for _, c := range append(commands(), namedCommand{name: "verbenactl", command: nil}) {
		contains(t, "page", page, "`"+c.name)
		var data any = c.command
		if c.command == nil {
			data = &options{}
		}
		parser := flags.NewParser(data, flags.None)
		for _, o := range parser.Groups()[0].Options() {
			if o.EnvDefaultKey == "" {
				t.Fatalf("flag --%s of %s: got no environment variable", o.LongName, c.name)
			}
			contains(t, "page", page, "`--"+o.LongName+"`")
			contains(t, "page", page, "`"+o.EnvDefaultKey+"`")
		}
	}
	for reason, v := range statusByReason {
		contains(t, "page for "+reason, page, "| "+string(rune('0'+v.Code))+" |")
	}
}
