package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/operator/message"
)

// maxAnswer is the maximum size of an answer in bytes, which is held in memory. An export of the size that is expected in
// two years is 400 KB.
const maxAnswer = 64 << 20

// minPause is the delay before the first retry; it doubles with each retry up to maxPause.
const (
	minPause = 200 * time.Millisecond
	maxPause = 5 * time.Second
)

var (
	// ErrUnreachable is returned when no daemon answered; nothing was applied.
	ErrUnreachable = errors.New("no daemon answered")
	// ErrUnknownOutcome is returned when a change may or may not have been applied.
	ErrUnknownOutcome = errors.New("it is not known whether the change was applied")
)

// Error is the problem in an answer of the daemon other than success.
type Error struct{ Problem message.Problem }

// Error returns the detail of the problem, or its title if it has none.
func (e *Error) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Detail
}

// Client calls the servers in order until one answers; its fields are set before the first call.
type Client struct {
	Servers []string
	Token   string
	HTTP    *http.Client
	// Retries is how often a call is repeated if no answer came or the refusal is temporary.
	Retries int
	// Pause waits between retries; nil waits for the duration or until the context ends.
	Pause func(context.Context, time.Duration)
}

// NewHTTP returns an HTTP client that trusts the certificates in a file, or those of the system if the name is empty.
func NewHTTP(caFile string, timeout time.Duration) (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile != "" {
		text, err := os.ReadFile(caFile)
		if err != nil {
			return nil, fmt.Errorf("read CA file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("read CA file %s: no certificate in it", caFile)
		}
	}
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true},
		// A redirect could carry the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, nil
}

// NewChangeID returns a random id for a new change.
func NewChangeID() string { return uuid.NewString() }

// Apply applies files; all attempts use the same change id. Without a base it takes the revision in force before the first
// attempt, so that a retry does not overwrite what others changed in between.
func (c *Client) Apply(ctx context.Context, request message.Apply) (message.Applied, error) {
	if request.ChangeID == "" {
		request.ChangeID = NewChangeID()
	}
	if request.Base == 0 {
		v, err := c.Version(ctx)
		if err != nil {
			return message.Applied{}, err
		}
		request.Base = v.Revision
	}
	return exchange[message.Applied](ctx, c, message.ApplyPath, request, request.ChangeID)
}

// Diff asks what files would change.
func (c *Client) Diff(ctx context.Context, request message.Diff) (message.Difference, error) {
	return exchange[message.Difference](ctx, c, message.DiffPath, request, "")
}

// Query sends a statement; only an intent has a change id.
func (c *Client) Query(ctx context.Context, request message.Statement) (message.Answer, error) {
	return exchange[message.Answer](ctx, c, message.StatementPath, request, request.ChangeID)
}

// Export returns the declarations in force and their revision.
func (c *Client) Export(ctx context.Context) (string, uint64, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: message.ExportPath})
	if err != nil {
		return "", 0, err
	}
	revision, err := strconv.ParseUint(a.header.Get(message.RevisionHeader), 10, 64)
	if err != nil {
		return "", 0, fmt.Errorf("read the revision of the export: %w", err)
	}
	return string(a.body), revision, nil
}

// Report returns a rendered report.
func (c *Client) Report(ctx context.Context, kind, format string) ([]byte, error) {
	path := message.ReportPath + url.PathEscape(kind) + "?format=" + url.QueryEscape(format)
	a, err := c.do(ctx, call{method: http.MethodGet, path: path})
	return a.body, err
}

// Version returns the version of the daemon.
func (c *Client) Version(ctx context.Context) (message.Version, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: message.VersionPath})
	if err != nil {
		return message.Version{}, err
	}
	return decode[message.Version](a)
}

// exchange sends a request as JSON and decodes the answer.
func exchange[T any](ctx context.Context, c *Client, path string, request any, changeID string) (T, error) {
	var none T
	body, err := json.Marshal(request)
	if err != nil {
		return none, fmt.Errorf("encode the request: %w", err)
	}
	a, err := c.do(ctx, call{method: http.MethodPost, path: path, body: body, changeID: changeID})
	if err != nil {
		return none, err
	}
	return decode[T](a)
}

func decode[T any](a answer) (T, error) {
	var value T
	if err := json.Unmarshal(a.body, &value); err != nil {
		return value, fmt.Errorf("read the answer: %w; check that --server names the operators' address of a daemon", err)
	}
	return value, nil
}

type call struct {
	method, path string
	body         []byte
	// changeID is set when the call may change the configuration.
	changeID string
}

type answer struct {
	header http.Header
	body   []byte
}

// do makes a call and retries it on the next server. A change whose answer was lost is retried with the same change id. If
// the retry is refused, the first attempt may still have been applied, except after a conflict: the daemon looks for the
// change id first and reports a conflict only if it isn't found.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	isUncertain := false
	pause := minPause
	for attempt := 0; ; attempt++ {
		a, err := c.attempt(ctx, c.Servers[attempt%len(c.Servers)], k)
		if err == nil {
			return a, nil
		}
		isUncertain = isUncertain || mayBeApplied(err, k)
		if !isRetryable(err) || attempt >= c.Retries || ctx.Err() != nil {
			return a, finalError(err, isUncertain, k)
		}
		c.pause(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// finalError returns the error of a call after its last attempt.
func finalError(err error, isUncertain bool, k call) error {
	var refused *Error
	isAnswered := errors.As(err, &refused)
	if isUncertain && !(isAnswered && refused.Problem.Reason == message.ReasonConflict) {
		return fmt.Errorf("%w (change id %s): %w", ErrUnknownOutcome, k.changeID, err)
	}
	if !isAnswered {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return err
}

// mayBeApplied reports whether a change may have been applied although the attempt failed.
func mayBeApplied(err error, k call) bool {
	if k.changeID == "" {
		return false
	}
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Problem.Outcome == message.Unknown
	}
	var other *notDaemonError
	if errors.As(err, &other) {
		return other.status >= http.StatusInternalServerError
	}
	// Without a connection nothing was sent.
	var dial *net.OpError
	return !(errors.As(err, &dial) && dial.Op == "dial")
}

// isRetryable reports whether a retry can succeed.
func isRetryable(err error) bool {
	var refused *Error
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Problem.Reason {
	case message.ReasonUnknownOutcome, message.ReasonNotReady, message.ReasonUnavailable, message.ReasonBusy:
		return true
	}
	return false
}

func (c *Client) pause(ctx context.Context, d time.Duration) {
	if c.Pause != nil {
		c.Pause(ctx, d)
		return
	}
	interval.Wait(ctx, d)
}

func (c *Client) attempt(ctx context.Context, server string, k call) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, k.method, strings.TrimSuffix(server, "/")+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if k.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return answer{header: response.Header, body: body}, nil
	}
	return answer{}, problemError(response, body)
}

// notDaemonError is an answer that no daemon sends, for example that of a load balancer in between.
type notDaemonError struct{ status int }

// Error describes the answer.
func (e *notDaemonError) Error() string {
	return fmt.Sprintf("an answer with status %d that is not a daemon's; check that --server names the operators' address", e.status)
}

// problemError returns the error of an answer other than success. A server that sends no problem is not a daemon of this
// system.
func problemError(response *http.Response, body []byte) error {
	var p message.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Reason == "" {
		return &notDaemonError{status: response.StatusCode}
	}
	return &Error{Problem: p}
}
