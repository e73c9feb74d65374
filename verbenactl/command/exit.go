package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/verbenactl/client"
	"verbenalanding.example/verbenactl/render"
)

// The exit codes of verbenactl.
const (
	ExitOK           = 0
	ExitFailed       = 1
	ExitUsage        = 2
	ExitRefused      = 3
	ExitConflict     = 4
	ExitUnreachable  = 5
	ExitUnauthorized = 6
	ExitUnknown      = 7
	ExitDifferent    = 8
	ExitNotFound     = 9
)

// usageError reports an invalid command line.
type usageError struct{ text string }

// Error describes what is wrong with the command line.
func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// errDifferent is returned if files differ and a flag requests the exit code ExitDifferent for this.
var errDifferent = errors.New("files differ")

// exitStatus is the exit code for an error with advice for the operator.
type exitStatus struct {
	Code int `json:"exitCode"`
	// Advice is one line about what the operator can do.
	Advice string `json:"advice"`
}

// statusByReason maps the reason of a problem to the exit status.
var statusByReason = map[string]exitStatus{
	message.ReasonRefused:        {ExitRefused, "nothing was applied; correct what is named above and repeat the command"},
	message.ReasonEdit:           {ExitRefused, "decisions of the system cannot be edited; state the intent that is named above"},
	message.ReasonInvalid:        {ExitUsage, "correct the command line"},
	message.ReasonTooLarge:       {ExitRefused, "nothing was applied; split the files over several changes"},
	message.ReasonConflict:       {ExitConflict, "nothing was applied; look at the present state with verbenactl diff, then apply again"},
	message.ReasonNotReady:       {ExitUnreachable, "nothing was applied; the daemon has read no configuration yet, repeat the command later or name another --server"},
	message.ReasonUnavailable:    {ExitUnreachable, "nothing was applied; repeat the command later or name another --server"},
	message.ReasonBusy:           {ExitUnreachable, "nothing was applied; repeat the command later or name another --server"},
	message.ReasonUnauthorized:   {ExitUnauthorized, "check VERBENA_TOKEN_FILE or --token-file against the daemon's tokens file"},
	message.ReasonForbidden:      {ExitUnauthorized, "use a token with the role operator"},
	message.ReasonUnknownOutcome: {ExitUnknown, "repeat the command with the same --change-id"},
	message.ReasonNotFound:       {ExitNotFound, "check the name, and that --server names the operators' address"},
	message.ReasonInternal:       {ExitFailed, "look for the request id in the daemon's log"},
}

func exitStatusOf(err error) exitStatus {
	var usageErr *usageError
	var problems declaration.Problems
	var refused *client.Error
	switch {
	case errors.As(err, &usageErr):
		return exitStatus{ExitUsage, "see verbenactl --help"}
	case errors.Is(err, errDifferent):
		return exitStatus{ExitDifferent, "run verbenactl fmt without --check, or apply the files"}
	case errors.Is(err, client.ErrUnknownOutcome):
		return exitStatus{ExitUnknown, "repeat the command with the same --change-id; it is applied at most once"}
	case errors.Is(err, client.ErrUnreachable):
		return exitStatus{ExitUnreachable, "nothing was applied; check the addresses in --server and that an entry instance runs there"}
	case errors.Is(err, declaration.ErrEdit):
		return statusByReason[message.ReasonEdit]
	case errors.As(err, &problems):
		return statusByReason[message.ReasonRefused]
	case errors.As(err, &refused):
		if status, ok := statusByReason[refused.Problem.Reason]; ok {
			return status
		}
	}
	return exitStatus{ExitFailed, "see the text above"}
}

// printError prints an error and returns its exit code. The last line of the text is the advice for the operator.
func printError(w io.Writer, isJSON bool, err error) int {
	status := exitStatusOf(err)
	var refused *client.Error
	isRefused := errors.As(err, &refused)
	if isJSON {
		out := struct {
			exitStatus
			Error   string           `json:"error"`
			Problem *message.Problem `json:"problem,omitempty"`
		}{exitStatus: status, Error: err.Error()}
		if isRefused {
			out.Problem = &refused.Problem
		}
		_ = writeJSON(w, out) // a failed write to standard error can't be reported anywhere
		return status.Code
	}
	if isRefused {
		fmt.Fprint(w, render.OtherChange(refused.Problem))
	}
	lines := strings.Split(err.Error(), "\n")
	for _, line := range lines[:len(lines)-1] {
		fmt.Fprintln(w, line)
	}
	lastLine := lines[len(lines)-1]
	if len(lines) > 1 {
		fmt.Fprintln(w, lastLine)
		lastLine = fmt.Sprintf("%d errors", len(lines))
	}
	fmt.Fprintf(w, "verbenactl: %s; %s\n", lastLine, status.Advice)
	return status.Code
}

func joinLines(text string) string { return strings.Join(strings.Fields(text), " ") }

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
