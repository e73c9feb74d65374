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

// BackendFault is how a Backend misbehaves on a request.
type BackendFault string

// The faults of a Backend.
const (
	// Healthy answers correctly.
	Healthy BackendFault = ""
	// Slow answers after SlowFor.
	Slow BackendFault = "slow"
	// Truncated runs the request and ends the connection in the middle of a response with a length.
	Truncated BackendFault = "truncated"
	// TruncatedChunks runs the request and ends the connection in the middle of a chunked response.
	TruncatedChunks BackendFault = "truncatedChunks"
	// WrongResponse runs the request and sends the response with the echo and body of another request.
	WrongResponse BackendFault = "crossed"
	// DuplicatedResponse sends the response twice.
	DuplicatedResponse BackendFault = "doubled"
	// Oversized sends a chunked response of Oversize bytes.
	Oversized BackendFault = "oversized"
	// OversizedLength sends a response that announces Oversize bytes.
	OversizedLength BackendFault = "oversizedLength"
	// Refusing states that it did not run the request.
	Refusing BackendFault = "refusing"
	// Unframed sends a response without a length.
	Unframed BackendFault = "unframed"
	// ClosedBefore reads the request and closes the connection without running it.
	ClosedBefore BackendFault = "closedBefore"
	// ClosedAfter runs the request and closes the connection without a response.
	ClosedAfter BackendFault = "closedAfter"
	// Failing answers 500 at once.
	Failing BackendFault = "failing"
	// Hanging runs the request and holds the connection without a response.
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

// Backend is a backend server on loopback with faults; set the exported fields before Run. Answers repeat the
// request's body after its request id, so that a caller can tell whose response it got.
type Backend struct {
	// Slots is the number of requests run at a time; more are refused as not run. 0 sets no limit.
	Slots int
	// Connections is the number of requests accepted at a time; those above Slots wait for a slot. 0 accepts only what
	// runs at once.
	Connections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// SlowFor is how long a slow request runs.
	SlowFor time.Duration
	// Log collects the executions of several backends; a new one when nil.
	Log *ExecutionLog

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	faults   []BackendFault
	standing BackendFault
	idle     map[net.Conn]bool
	running  int
	runs     int
	cut      int
	slots    chan struct{}
}

// ExecutionLog counts executions, so that an oracle can check that a key ran at most once.
type ExecutionLog struct {
	mu   sync.Mutex
	all  []Execution
	keys map[string]int
	ids  map[string]int
}

func (l *ExecutionLog) add(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == nil {
		l.keys, l.ids = map[string]int{}, map[string]int{}
	}
	l.all = append(l.all, e)
	l.keys[e.Service+"/"+e.Key]++
	l.ids[e.RequestID]++
}

// KeyRuns returns how often a key of a service ran.
func (l *ExecutionLog) KeyRuns(service, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[service+"/"+key]
}

// RequestRuns returns how often a request id ran.
func (l *ExecutionLog) RequestRuns(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids[id]
}

// All returns the executions so far.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// Len returns the number of executions.
func (l *ExecutionLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
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
		Handler: b, DisableGeneralOptionsHandler: true, ConnState: b.note, ReadHeaderTimeout: time.Minute,
	}
	return nil
}

// Addr returns the address after Listen.
func (b *Backend) Addr() netip.AddrPort {
	return b.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends; requests in flight are cut.
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

// SetFault replaces the fault of all requests that follow.
func (b *Backend) SetFault(f BackendFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standing, b.faults = f, nil
}

// PushFaults sets the faults of the next requests, one each; the standing fault follows.
func (b *Backend) PushFaults(f ...BackendFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, f...)
}

// CloseIdle closes the connections that wait for a request.
func (b *Backend) CloseIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.idle {
		_ = c.Close()
	}
}

// InFlight returns the number of requests that run now.
func (b *Backend) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// Runs returns how many requests this backend has begun.
func (b *Backend) Runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// Interrupted returns how many requests lost their connection while they ran.
func (b *Backend) Interrupted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

func (b *Backend) note(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == http.StateIdle {
		b.idle[c] = true
	} else {
		delete(b.idle, c)
	}
}

func (b *Backend) begin() (BackendFault, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault := b.standing
	if len(b.faults) > 0 {
		fault, b.faults = b.faults[0], b.faults[1:]
	}
	if fault == Refusing || b.Slots > 0 && b.running >= max(b.Slots, b.Connections) {
		return fault, false
	}
	b.running++
	b.runs++
	return fault, true
}

// ServeHTTP runs one request with the fault whose turn it is.
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
	fault, admitted := b.begin()
	if !admitted {
		w.Header().Set("Verbena-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end(r)
	if fault == ClosedBefore {
		panic(http.ErrAbortHandler)
	}
	if !b.takeSlot(r.Context()) {
		return
	}
	defer b.freeSlot()
	b.Log.add(Execution{
		RequestID: id, Key: r.Header.Get("Idempotency-Key"), Service: r.URL.Path[len("/v1/services/"):], Backend: b.Addr(),
	})
	b.wait(r.Context(), fault)
	b.answer(w, fault, id, append([]byte(id+":"), body...))
}

// answerProbe answers OPTIONS *, which runs nothing, unless a standing fault keeps the server from answering at all.
func (b *Backend) answerProbe(r *http.Request) {
	b.mu.Lock()
	fault := b.standing
	b.mu.Unlock()
	switch fault {
	case ClosedBefore:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-r.Context().Done()
	}
}

// takeSlot waits for a free slot when more requests are accepted than run.
func (b *Backend) takeSlot(ctx context.Context) bool {
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

func (b *Backend) freeSlot() {
	if b.Connections > 0 {
		<-b.slots
	}
}

func (b *Backend) end(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if r.Context().Err() != nil {
		b.cut++
	}
}

func (b *Backend) wait(ctx context.Context, fault BackendFault) {
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
	head := "HTTP/1.1 200 OK\r\nVerbena-Request-Id: " + id + "\r\nContent-Type: text/plain\r\n"
	whole := head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
	switch fault {
	case Truncated:
		raw(w, whole[:len(whole)-1], false)
	case TruncatedChunks:
		raw(w, head+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n", len(body), body), false)
	case Unframed:
		raw(w, head+"\r\n"+string(body), false)
	case DuplicatedResponse:
		raw(w, whole+whole, true)
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

// raw writes bytes past net/http and holds the connection open or closes it.
func raw(w http.ResponseWriter, text string, hold bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	if hold {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
	}
}
