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

// maxAnswer is the maximum size of an answer in bytes, which is held in memory. An export is expected to have 400 KB in two
// years.
const maxAnswer = 64 << 20

// minBackoff is the delay before the first retry; it doubles with each retry up to maxBackoff.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

var (
	// ErrUnreachable is returned if no daemon answered; nothing was applied.
	ErrUnreachable = errors.New("no daemon answered")
	// ErrUnknownOutcome is returned if a change may or may not have been applied.
	ErrUnknownOutcome = errors.New("it is not known whether the change was applied")
)

// Error is the problem with which the daemon answered a call.
type Error struct{ Problem message.Problem }

// Error returns the detail of the problem, or its title if it has none.
func (e *Error) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return e.Problem.Detail
}

// Client calls the servers in turn until one answers; its fields are set before the first call.
type Client struct {
	Servers []string
	Token   string
	HTTP    *http.Client
	// Retries is the maximum number of retries of a call that got no answer or a temporary refusal.
	Retries int
	// Wait waits between retries. If it is nil, the client waits for the duration or until the context ends.
	Wait func(context.Context, time.Duration)
}

// NewHTTP returns an HTTP client that trusts the certificates in caFile, or those of the system if caFile is empty.
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

// Apply applies files; all attempts use the same change id. Without a base it uses the revision in force before the first
// attempt, so that a retry does not overwrite concurrent changes.
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

// Diff returns the changes that files would make and their effects.
func (c *Client) Diff(ctx context.Context, request message.Diff) (message.Difference, error) {
	return exchange[message.Difference](ctx, c, message.DiffPath, request, "")
}

// Query sends a statement and returns its answer. Only an intent has a change id.
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
	var zero T
	body, err := json.Marshal(request)
	if err != nil {
		return zero, fmt.Errorf("encode the request: %w", err)
	}
	a, err := c.do(ctx, call{method: http.MethodPost, path: path, body: body, changeID: changeID})
	if err != nil {
		return zero, err
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
	// changeID is set if the call may change the configuration.
	changeID string
}

type answer struct {
	header http.Header
	body   []byte
}

// do makes a call and retries it on the next server. A change whose answer was lost is retried with the same change id. If
// the retry is refused, the first attempt may still have been applied. The exception is a conflict, which the daemon reports
// only after it did not find the change id.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	isUncertain := false
	backoff := minBackoff
	for attempt := 0; ; attempt++ {
		a, err := c.attempt(ctx, c.Servers[attempt%len(c.Servers)], k)
		if err == nil {
			return a, nil
		}
		isUncertain = isUncertain || mayBeApplied(err, k)
		if !isRetryable(err) || attempt >= c.Retries || ctx.Err() != nil {
			return a, finalError(err, isUncertain, k)
		}
		c.wait(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
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
	var notDaemon *notDaemonError
	if errors.As(err, &notDaemon) {
		return notDaemon.status >= http.StatusInternalServerError
	}
	// If the connection failed, nothing was sent.
	var opErr *net.OpError
	return !(errors.As(err, &opErr) && opErr.Op == "dial")
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

func (c *Client) wait(ctx context.Context, d time.Duration) {
	if c.Wait != nil {
		c.Wait(ctx, d)
		return
	}
	interval.Wait(ctx, d)
}

func (c *Client) attempt(ctx context.Context, server string, k call) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, k.method, strings.TrimSuffix(server, "/")+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, err
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
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

// notDaemonError reports an answer that does not come from a daemon, but for example from a load balancer in between.
type notDaemonError struct{ status int }

// Error describes the answer.
func (e *notDaemonError) Error() string {
	return fmt.Sprintf("an answer with status %d that is not a daemon's; check that --server names the operators' address", e.status)
}

// problemError returns the error for an answer other than success. An answer without a problem does not come from a daemon.
func problemError(response *http.Response, body []byte) error {
	var p message.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Reason == "" {
		return &notDaemonError{status: response.StatusCode}
	}
	return &Error{Problem: p}
}
