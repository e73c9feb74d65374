package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"verbenalanding.example/fleet/admission"
)

const (
	maxIdleConns = 64
	// idleLimit is shorter than the idle time-outs that backend servers usually have.
	idleLimit = 30 * time.Second
	// idleLimitNonRepeatable is the idle limit for non-repeatable requests. It is shorter, because the outcome is unknown if
	// the backend server closes the connection while the request is being written.
	idleLimitNonRepeatable = time.Second
	// maxResponseHeader bounds the response's status line and header in bytes.
	maxResponseHeader = 64 << 10
	// maxInformational bounds the number of 1xx responses before the final one.
	maxInformational = 5
	headerRequestID  = "Verbena-Request-Id"
	headerOutcome    = "Verbena-Outcome"
)

// Errors of invalid responses.
var (
	errRequestIDMismatch = errors.New("response does not echo the request id")
	errUnframed          = errors.New("response has no length")
	errOversized         = errors.New("response is larger than the service's limit")
	errProtocol          = errors.New("response breaks the protocol")
)

// backendRequest is the request of one attempt at a backend server.
type backendRequest struct {
	id       string
	head     []byte
	body     []byte
	deadline time.Time
	maxBody  int64
	// echoOptional accepts a response without the echoed request id. Its connection is not reused, because a late response
	// to another request could not be distinguished.
	echoOptional bool
	repeatable   bool
}

// backendResponse is a complete response of a backend server.
type backendResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	response *backendResponse
	err      error
	// sent is set if a byte of the request may have reached the backend server.
	sent   bool
	result admission.Result
	took   time.Duration
}

// backend holds the idle connections to one backend server. It replaces http.Transport, which may resend a request by
// itself when a reused connection closes early, and does not report whether bytes were written.
type backend struct {
	addr netip.AddrPort
	host string

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	raw       syscall.RawConn
	limited   io.LimitedReader
	reader    *bufio.Reader
	idleSince time.Time
	// peekFunc is the method value of peekByte, created once to save allocations.
	peekFunc func(uintptr) bool
	empty    bool
}

var postRequest = &http.Request{Method: http.MethodPost}

// getConn returns an idle connection that is still open, or dials a new one.
func (b *backend) getConn(ctx context.Context, req *backendRequest) (*conn, error) {
	limit := idleLimit
	if !req.repeatable {
		limit = idleLimitNonRepeatable
	}
	for !req.echoOptional {
		c := b.takeIdle()
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < limit && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Deadline: req.deadline}
	raw, err := dialer.DialContext(ctx, "tcp", b.host)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", b.addr, err)
	}
	c := &conn{Conn: raw}
	c.limited.R = raw
	c.peekFunc = c.peekByte
	c.reader = bufio.NewReaderSize(&c.limited, 4096)
	if t, ok := raw.(*net.TCPConn); ok {
		c.raw, _ = t.SyscallConn()
	}
	return c, nil
}

func (b *backend) takeIdle() *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	c := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return c
}

func (b *backend) putIdle(c *conn) {
	c.idleSince = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	b.idle = append(b.idle, c)
}

func (b *backend) closeIdle() {
	b.mu.Lock()
	idle := b.idle
	b.idle = nil
	b.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (b *backend) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.closeIdle()
}

// usable reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) usable() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	c.empty = false
	return c.raw.Read(c.peekFunc) == nil && c.empty
}

// peekByte checks for an unread byte without blocking.
func (c *conn) peekByte(fd uintptr) bool {
	var buf [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.empty = errors.Is(err, syscall.EAGAIN)
	return true
}

// do sends a request once and returns its complete, checked response or an error.
func (b *backend) do(ctx context.Context, req *backendRequest) attemptResult {
	started := time.Now()
	a := b.exchange(ctx, req)
	a.took = time.Since(started)
	return a
}

func (b *backend) exchange(ctx context.Context, req *backendRequest) attemptResult {
	c, err := b.getConn(ctx, req)
	if err != nil {
		return attemptResult{err: err, result: classify(ctx, err)}
	}
	a := attemptResult{}
	_ = c.SetDeadline(req.deadline)
	stopCancel := func() bool { return true }
	if ctx.Done() != nil {
		stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	}
	if a.sent, err = c.write(req); err == nil {
		a.response, err = c.receive(req)
	}
	// A deadline that a cancellation sets must not affect a later request on the connection.
	reuse := stopCancel()
	if err != nil {
		_ = c.Close()
		a.err = fmt.Errorf("exchange with %s: %w", b.addr, err)
		a.result = classify(ctx, err)
		return a
	}
	a.result = admission.Succeeded
	if a.response.status >= http.StatusInternalServerError {
		a.result = admission.Failed
	}
	if a.response.refused() {
		a.result = admission.Rejected
	}
	if reuse && c.reusable(req, a.response) {
		b.putIdle(c)
	} else {
		_ = c.Close()
	}
	return a
}

// refused reports whether the response states that the backend server did not run the request.
func (r *backendResponse) refused() bool {
	return (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) &&
		r.header.Get(headerOutcome) == outcomeNotRun
}

func (c *conn) reusable(req *backendRequest, r *backendResponse) bool {
	return !req.echoOptional && c.reader.Buffered() == 0 && r.header.Get("Connection") == ""
}

// classify returns the result of an attempt without a complete response.
func classify(ctx context.Context, err error) admission.Result {
	switch {
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.Abandoned
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return admission.TimedOut
	}
	return admission.Failed
}

// write sends the request and reports whether any byte may have been sent.
func (c *conn) write(req *backendRequest) (bool, error) {
	const maxJoinedSize = 16 << 10
	if len(req.head)+len(req.body) <= maxJoinedSize {
		req.head = append(req.head, req.body...)
		n, err := c.Write(req.head)
		return n > 0, err
	}
	buffers := net.Buffers{req.head, req.body}
	n, err := buffers.WriteTo(c.Conn)
	return n > 0, err
}

// receive reads the whole response and checks that it belongs to the request and is complete.
func (c *conn) receive(req *backendRequest) (*backendResponse, error) {
	c.limited.N = maxResponseHeader
	var r *http.Response
	var err error
	for n := 0; ; n++ {
		r, err = http.ReadResponse(c.reader, postRequest)
		switch {
		case err != nil:
			return nil, unexpectedEOF(err)
		case r.StatusCode >= 200:
		case r.StatusCode == http.StatusSwitchingProtocols, n >= maxInformational:
			return nil, errProtocol
		default:
			continue
		}
		break
	}
	if err := checkEcho(r.Header[headerRequestID], req); err != nil {
		return nil, err
	}
	// Chunked encoding with chunks of a few bytes is several times larger than its content.
	c.limited.N = maxResponseHeader + 8*req.maxBody
	response := &backendResponse{status: r.StatusCode, header: r.Header}
	if r.Close {
		response.header.Set("Connection", "close")
	}
	if response.body, err = readBody(r, req.maxBody); err != nil {
		return nil, unexpectedEOF(err)
	}
	return response, nil
}

func checkEcho(echo []string, req *backendRequest) error {
	if len(echo) == 0 && req.echoOptional {
		return nil
	}
	if len(echo) != 1 || echo[0] != req.id {
		return errRequestIDMismatch
	}
	return nil
}

func readBody(r *http.Response, limit int64) ([]byte, error) {
	switch {
	case r.ContentLength > limit:
		return nil, errOversized
	case r.ContentLength == 0, r.StatusCode == http.StatusNoContent, r.StatusCode == http.StatusNotModified:
		return nil, nil
	case r.ContentLength > 0:
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, err
		}
		return body, nil
	case len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked":
		return nil, errUnframed
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, io.LimitReader(r.Body, limit+1)); err != nil {
		return nil, err
	}
	if int64(body.Len()) > limit {
		return nil, errOversized
	}
	return body.Bytes(), nil
}

// unexpectedEOF converts io.EOF, so that an early end of the connection is not taken for the regular end of a stream.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// appendHead appends the request line and header of a request.
func appendHead(b []byte, host, service string, header http.Header, fields [][2]string, length int) []byte {
	b = append(b, "POST /v1/services/"...)
	b = append(b, service...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	for _, name := range forwarded {
		if values := header[name]; len(values) > 0 {
			b = appendField(b, name, values[0])
		}
	}
	for _, f := range fields {
		if f[1] != "" {
			b = appendField(b, f[0], f[1])
		}
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

// appendField omits values that could end the header early; net/http has already checked the callers' values.
func appendField(b []byte, name, value string) []byte {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return b
		}
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
