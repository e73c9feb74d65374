package testfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
)

// Fleet runs entry instances in one process, against a stand-in of the platform. Set the exported fields before Start.
type Fleet struct {
	Platform *standin.Platform
	Nodes    int
	Flags    node.Flags
	// NoMachineList runs the instances without the platform's list of machines.
	NoMachineList bool
	// Workspaces gives the instances the settings of a deployment whose callers send keys.
	Workspaces bool
	// Log receives the log lines of the instances; nil discards them.
	Log io.Writer

	mu      sync.Mutex
	nodes   []*instance
	ctx     context.Context
	group   *errgroup.Group
	cancel  context.CancelFunc
	client  *http.Client
	version int64
}

type instance struct {
	settings platform.Settings
	gate     *standin.Gate
	cancel   context.CancelFunc
	signals  chan os.Signal
	done     chan struct{}
	err      error
}

// Host is the host name of every queue.
const Host = "fleet.example"

// Prefix returns the path prefix of a pool's queue.
func Prefix(pool string) string { return standin.PoolPrefix(pool) }

// Start starts the stand-in and the instances, and waits until they are ready.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	f.group, f.ctx = errgroup.WithContext(ctx)
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	if f.Log == nil {
		f.Log = io.Discard
	}
	if err := f.Platform.Start(f.ctx, f.group); err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	f.Configure()
	for i := range f.Nodes {
		if err := f.AddNode(fmt.Sprintf("n%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// Configure writes the next version of the operator's configuration and returns it.
func (f *Fleet) Configure() int64 {
	f.version++
	f.Platform.Configure(f.version, Host, Attempts)
	return f.version
}

// Attempts is how many runs of a task may fail before its job fails.
const Attempts = 3

// startTries is the number of attempts to start an instance: after its ports are chosen, another process on the machine may open them
// before the instance does.
const startTries = 5

// AddNode starts an instance and waits until it is ready.
func (f *Fleet) AddNode(name string) error {
	var err error
	for range startTries {
		if err = f.addNode(name); !errors.Is(err, node.ErrListen) {
			return err
		}
	}
	return err
}

// AddNodes starts instances at the same time and waits until all are ready.
func (f *Fleet) AddNodes(names ...string) error {
	var group errgroup.Group
	for _, name := range names {
		group.Go(func() error { return f.AddNode(name) })
	}
	return group.Wait()
}

func (f *Fleet) addNode(name string) error {
	var ports [3]netip.AddrPort
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		if ports[i], err = netip.ParseAddrPort(l.Addr().String()); err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	gate, err := f.Platform.OpenGate()
	if err != nil {
		return err
	}
	s := platform.Settings{
		Node: name, DataCentre: "z1", IP: ports[0].Addr(), Entry: ports[0], Readiness: ports[1],
		PeerPorts: [2]uint16{ports[2].Port(), ports[2].Port()}, Store: gate.Addr, Machines: f.Platform.CloudAddr,
		Bounds: standin.Bounds(), MinLeaseTTL: 500 * time.Millisecond, Workspaces: f.Workspaces,
	}
	if f.NoMachineList {
		s.Machines = netip.AddrPort{}
	}
	nodeCtx, cancel := context.WithCancel(f.ctx)
	n := &instance{settings: s, gate: gate, cancel: cancel, signals: make(chan os.Signal, 4), done: make(chan struct{})}
	f.group.Go(func() error {
		defer close(n.done)
		n.err = node.RunWithSignals(nodeCtx, s, os.DevNull, f.Flags, f.Log, n.signals)
		return nil
	})
	if err := f.awaitReady(n); err != nil {
		cancel()
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return nil
}

func (f *Fleet) awaitReady(n *instance) error {
	const timeout = 10 * time.Second
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	for !f.ready(ctx, n) {
		select {
		case <-n.done:
			return fmt.Errorf("node %s ended before it was ready: %w", n.settings.Node, n.err)
		case <-ctx.Done():
			return fmt.Errorf("node %s not ready within %v", n.settings.Node, timeout)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// ready reports whether the readiness probe of an instance succeeds within a second.
func (f *Fleet) ready(ctx context.Context, n *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Readiness.String()+wire.PathReady, nil)
	if err != nil {
		return false
	}
	answer, err := f.client.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Holder returns the index of the instance that holds a pool, or -1.
func (f *Fleet) Holder(pool string) int {
	content, ok := f.Platform.Store.Get(leadership.Prefix + pool)
	var h struct{ Node string }
	if !ok || json.Unmarshal(content, &h) != nil {
		return -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.nodes {
		if n.settings.Node == h.Node && n.running() {
			return i
		}
	}
	return -1
}

func (n *instance) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// Kill ends an instance immediately, without a graceful stop.
func (f *Fleet) Kill(i int) {
	f.mu.Lock()
	n := f.nodes[i]
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

// Ended returns the errors of the instances that have ended, by index.
func (f *Fleet) Ended() map[int]error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := map[int]error{}
	for i, n := range f.nodes {
		if !n.running() {
			ended[i] = n.err
		}
	}
	return ended
}

// KillAll ends all running instances at the same time.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	nodes := slices.Clone(f.nodes)
	f.mu.Unlock()
	for _, n := range nodes {
		n.cancel()
	}
	for _, n := range nodes {
		<-n.done
	}
}

// RejectStoreCalls makes the store reject all calls of an instance, or serve them again.
func (f *Fleet) RejectStoreCalls(i int, reject bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i].gate.SetClosed(reject)
}

// LimitStoreRate limits the rate at which the store's answers to an instance are sent, in bytes per second; 0 removes the limit.
func (f *Fleet) LimitStoreRate(i int, bytesPerSecond int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i].gate.LimitRate(bytesPerSecond)
}

// LoseReads drops the store's answers to reads of keys with a prefix, for all instances; an empty prefix stops that.
func (f *Fleet) LoseReads(prefix string) {
	var lost func(*http.Request) bool
	if prefix != "" {
		lost = func(r *http.Request) bool {
			return r.URL.Path == wire.PathKey && strings.HasPrefix(r.URL.Query().Get("Key"), prefix)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.gate.LoseAnswers(lost)
	}
}

// Terminate ends an instance gracefully and returns its error.
func (f *Fleet) Terminate(i int) error {
	f.mu.Lock()
	n := f.nodes[i]
	f.mu.Unlock()
	n.signals <- syscall.SIGTERM
	<-n.done
	return n.err
}

// Close stops the instances and the stand-in.
func (f *Fleet) Close() error {
	f.cancel()
	return f.group.Wait()
}

// Do sends a request to the running instance with the index i modulo their number, and returns status and body.
func (f *Fleet) Do(ctx context.Context, i int, method, path string, body any) (int, []byte, error) {
	return f.DoWithKey(ctx, i, method, path, "", body)
}

// DoWithKey sends a request like Do, with the key of a workspace.
func (f *Fleet) DoWithKey(ctx context.Context, i int, method, path, key string, body any) (int, []byte, error) {
	f.mu.Lock()
	var running []*instance
	for _, n := range f.nodes {
		if n.running() {
			running = append(running, n)
		}
	}
	f.mu.Unlock()
	if len(running) == 0 {
		return 0, nil, fmt.Errorf("%s %s: no instance is running", method, path)
	}
	var content []byte
	if raw, ok := body.([]byte); ok {
		content = raw
	} else if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	n := running[i%len(running)]
	return standin.Request{Method: method, Host: Host, Path: path, Body: content, Key: key}.Send(ctx, f.client, n.settings.Entry)
}

// Explain requests an explanation from the readiness address of an instance and returns status and body.
func (f *Fleet) Explain(ctx context.Context, i int, path string) (int, []byte, error) {
	f.mu.Lock()
	n := f.nodes[i]
	f.mu.Unlock()
	return standin.Request{Method: http.MethodGet, Host: Host, Path: "/operator/" + path}.Send(ctx, f.client, n.settings.Readiness)
}

// Ask sends an operator's question with a body to the readiness address of an instance and returns status and body.
func (f *Fleet) Ask(ctx context.Context, i int, path string, body []byte) (int, []byte, error) {
	f.mu.Lock()
	n := f.nodes[i]
	f.mu.Unlock()
	return standin.Request{Method: http.MethodPost, Host: Host, Path: "/operator/" + path, Body: body}.Send(ctx, f.client, n.settings.Readiness)
}

// retryDelay is the delay between two attempts of a caller.
const retryDelay = 100 * time.Millisecond

// Submit submits a job until it is accepted or finally refused, and reports whether it was accepted.
func (f *Fleet) Submit(ctx context.Context, pool string, j *standin.Job) (bool, error) {
	f.Platform.AddJob(j, Attempts)
	for i := 0; ; i++ {
		status, _, err := f.Do(ctx, i, http.MethodPost, Prefix(pool)+j.ID, j.Job)
		if err == nil && status == http.StatusOK {
			return true, nil
		}
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout && status != http.StatusTooManyRequests {
			return false, nil
		}
		if !interval.Wait(ctx, retryDelay) {
			return false, fmt.Errorf("submit %s: %w", j.ID, ctx.Err())
		}
	}
}

// State requests the state of a job; it is empty for an unknown job.
func (f *Fleet) State(ctx context.Context, pool, id string) (string, error) {
	status, body, err := f.Do(ctx, int(id[0]), http.MethodGet, Prefix(pool)+id, nil)
	if err != nil || status == http.StatusGone {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("state of %s: status %d", id, status)
	}
	var s wire.State
	if err := json.Unmarshal(body, &s); err != nil {
		return "", err
	}
	return s.State, nil
}

// Await polls the state of a job until it is the wanted one or the context ends.
func (f *Fleet) Await(ctx context.Context, pool, id, want string) error {
	last := ""
	for {
		state, err := f.State(ctx, pool, id)
		if err == nil && state == want {
			return nil
		}
		if err == nil {
			last = state
		}
		if !interval.Wait(ctx, 20*time.Millisecond) {
			return fmt.Errorf("job %s: state %q, want %q: %w", id, last, want, ctx.Err())
		}
	}
}
