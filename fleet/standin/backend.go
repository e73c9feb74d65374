package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
)

// BackendFault is the fault that a Backend shows on a request.
type BackendFault string

// The faults of a Backend.
const (
	// Healthy answers correctly.
	Healthy BackendFault = ""
	// Slow answers after Backend.SlowFor.
	Slow BackendFault = "slow"
	// Truncated runs the request and closes the connection in the middle of a response with a Content-Length.
	Truncated BackendFault = "truncated"
	// TruncatedChunks runs the request and closes the connection in the middle of a chunked response.
	TruncatedChunks BackendFault = "truncatedChunks"
	// WrongResponse runs the request and sends a response with the request id and body of another request.
	WrongResponse BackendFault = "crossed"
	// DuplicatedResponse sends the response twice.
	DuplicatedResponse BackendFault = "doubled"
	// Oversized runs the request and sends a chunked response of Oversize bytes.
	Oversized BackendFault = "oversized"
	// OversizedLength runs the request and sends a response of Oversize bytes with a Content-Length.
	OversizedLength BackendFault = "oversizedLength"
	// Refusing answers that the request was not run.
	Refusing BackendFault = "refusing"
	// Unframed runs the request and sends a response that is neither chunked nor has a Content-Length.
	Unframed BackendFault = "unframed"
	// ClosedBefore reads the request and closes the connection without running it.
	ClosedBefore BackendFault = "closedBefore"
	// ClosedAfter runs the request and closes the connection without a response.
	ClosedAfter BackendFault = "closedAfter"
	// Failing answers with status 500 immediately.
	Failing BackendFault = "failing"
	// Hanging runs the request and keeps the connection open without a response.
	Hanging BackendFault = "hanging"
)

// Oversize is the size in bytes of an oversized response.
const Oversize = 4 << 20

// Execution is a request that a Backend has run.
type Execution struct {
	RequestID string
	Key       string
	Service   string
	Backend   netip.AddrPort
}

// Backend is a backend server on loopback with fault injection; set the exported fields before Listen. The response body is the request id
// followed by the request body, so that a caller can tell which request it belongs to.
type Backend struct {
	// Slots is the number of requests that run at a time; further ones are refused as not run. 0 means no limit.
	Slots int
	// Connections is the number of requests that are accepted at a time; those above Slots wait for a slot. 0 accepts no more than Slots.
	Connections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// SlowFor is how long a slow request runs.
	SlowFor time.Duration
	// Log records the executions; backends may share it. Listen creates one if it is nil.
	Log *ExecutionLog

	mu           sync.Mutex
	listener     net.Listener
	server       *http.Server
	nextFaults   []BackendFault
	defaultFault BackendFault
	idle         map[net.Conn]bool
	running      int
	started      int
	interrupted  int
	slots        chan struct{}
}

// ExecutionLog records executions, so that tests can check that each key ran at most once.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
	runsByKey  map[string]int
	runsByID   map[string]int
}

func (l *ExecutionLog) add(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runsByKey == nil {
		l.runsByKey, l.runsByID = map[string]int{}, map[string]int{}
	}
	l.executions = append(l.executions, e)
	l.runsByKey[e.Service+"/"+e.Key]++
	l.runsByID[e.RequestID]++
}

// KeyRuns returns how often requests with the given idempotency key of a service ran.
func (l *ExecutionLog) KeyRuns(service, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByKey[service+"/"+key]
}

// RequestRuns returns how often the request with the given id ran.
func (l *ExecutionLog) RequestRuns(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByID[id]
}

// All returns the executions so far.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

// Len returns the number of executions.
func (l *ExecutionLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.executions)
}

// Listen opens the backend's port on loopback.
func (b *Backend) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for stand-in backend: %w", err)
	}
	if b.Log == nil {
		b.Log = &ExecutionLog{}
	}
	b.idle = map[net.Conn]bool{}
	b.slots = make(chan struct{}, max(b.Slots, 1))
	b.listener = l
	b.server = &http.Server{
		Handler: b, DisableGeneralOptionsHandler: true, ConnState: b.trackIdle, ReadHeaderTimeout: time.Minute,
	}
	return nil
}

// Addr returns the address after Listen.
func (b *Backend) Addr() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends and then closes the connections of requests in flight.
func (b *Backend) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return b.server.Serve(b.listener) })
	g.Go(func() error {
		<-ctx.Done()
		_ = b.server.Close()
		return ctx.Err()
	})
	err := g.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("serve stand-in backend: %w", err)
}

// SetFault sets the fault of all subsequent requests and discards the faults of PushFaults.
func (b *Backend) SetFault(f BackendFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.defaultFault, b.nextFaults = f, nil
}

// PushFaults sets the faults of the next requests, one each; the fault of SetFault applies again after them.
func (b *Backend) PushFaults(f ...BackendFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextFaults = append(b.nextFaults, f...)
}

// CloseIdle closes the idle connections.
func (b *Backend) CloseIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.idle {
		_ = c.Close()
	}
}

// InFlight returns the number of requests that are running or wait for a slot.
func (b *Backend) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// Runs returns the number of requests that this backend has started.
func (b *Backend) Runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started
}

// Interrupted returns the number of requests whose connection was closed while they ran.
func (b *Backend) Interrupted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.interrupted
}

func (b *Backend) trackIdle(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == http.StateIdle {
		b.idle[c] = true
	} else {
		delete(b.idle, c)
	}
}

// admit returns the fault of the next request and whether the request is accepted.
func (b *Backend) admit() (BackendFault, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := b.defaultFault
	if len(b.nextFaults) > 0 {
		fault, b.nextFaults = b.nextFaults[0], b.nextFaults[1:]
	}
	if fault == Refusing || b.Slots > 0 && b.running >= max(b.Slots, b.Connections) {
		return fault, false
	}
	b.running++
	b.started++
	return fault, true
}

// ServeHTTP runs one request with the next fault.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodOptions {
		b.answerProbe(r)
		return
	}
	id := r.Header.Get("Verbena-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Verbena-Request-Id", id)
	fault, admitted := b.admit()
	if !admitted {
		w.Header().Set("Verbena-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end(r)
	if fault == ClosedBefore {
		panic(http.ErrAbortHandler)
	}
	if !b.acquireSlot(r.Context()) {
		return
	}
	defer b.releaseSlot()
	b.Log.add(Execution{
		RequestID: id, Key: r.Header.Get("Idempotency-Key"), Service: r.URL.Path[len("/v1/services/"):], Backend: b.Addr(),
	})
	b.simulateWork(r.Context(), fault)
	b.answer(w, fault, id, append([]byte(id+":"), body...))
}

// answerProbe answers OPTIONS *, which runs no request, unless the default fault prevents any answer.
func (b *Backend) answerProbe(r *http.Request) {
	b.mu.Lock()
	fault := b.defaultFault
	b.mu.Unlock()
	switch fault {
	case ClosedBefore:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-r.Context().Done()
	}
}

// acquireSlot waits for a free slot if Connections is set. It returns false if the context ends first.
func (b *Backend) acquireSlot(ctx context.Context) bool {
	if b.Connections == 0 {
		return true
	}
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) releaseSlot() {
	if b.Connections > 0 {
		<-b.slots
	}
}

func (b *Backend) end(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if r.Context().Err() != nil {
		b.interrupted++
	}
}

// simulateWork waits as long as a request with the given fault runs.
func (b *Backend) simulateWork(ctx context.Context, fault BackendFault) {
	d := b.ServiceTime
	switch fault {
	case Slow:
		d = b.SlowFor
	case Hanging:
		d = time.Hour
	case Failing:
		d = 0
	}
	if d == 0 {
		return
	}
	interval.Wait(ctx, d)
}

func (b *Backend) answer(w http.ResponseWriter, fault BackendFault, id string, body []byte) {
	header := "HTTP/1.1 200 OK\r\nVerbena-Request-Id: " + id + "\r\nContent-Type: text/plain\r\n"
	response := header + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
	switch fault {
	case Truncated:
		writeRaw(w, response[:len(response)-1], false)
	case TruncatedChunks:
		writeRaw(w, header+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n", len(body), body), false)
	case Unframed:
		writeRaw(w, header+"\r\n"+string(body), false)
	case DuplicatedResponse:
		writeRaw(w, response+response, true)
	case ClosedAfter:
		panic(http.ErrAbortHandler)
	case WrongResponse:
		w.Header().Set("Verbena-Request-Id", "another")
		_, _ = w.Write([]byte("another:"))
	case OversizedLength:
		w.Header().Set("Content-Length", strconv.Itoa(Oversize))
		_, _ = w.Write(bytes.Repeat([]byte("x"), Oversize))
	case Oversized:
		_, _ = w.Write(bytes.Repeat([]byte("x"), Oversize))
	case Failing:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// writeRaw writes text to the connection without net/http's framing. It closes the connection at once or, if holdOpen is set, after the
// client has closed it or a second has passed.
func writeRaw(w http.ResponseWriter, text string, holdOpen bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	if holdOpen {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
	}
}
