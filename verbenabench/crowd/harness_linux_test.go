//go:build crowd

package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenabench/procfs"
)

// The limits of the process, and the crowd that each test sends. The bounds follow from the limits alone: the platform kills a process that
// exceeds its memory, and keeps reservedFDs descriptors of maxFDs for files, so that sockets share the remainder.
const (
	memoryMB    = 64
	maxFDs      = 500
	reservedFDs = 200
	// maxBody is the largest body that the operator's configuration allows.
	maxBody = 256 << 10
	// bodyClients clients with the largest body send 60 MB, which the process cannot hold beside itself; all of them fit into its sockets.
	bodyClients = 240
	// idleClients is twice the number of sockets that the process may have.
	idleClients = 2 * (maxFDs - reservedFDs)
	// sendTime bounds the time for which the crowd sends; its connections then stay open until the ordinary request has been answered.
	sendTime = 5 * time.Second
	// holdTime is for how long the crowd's connections stay open before the ordinary request, so that the process reads what has arrived.
	holdTime = 1500 * time.Millisecond
	// answerLimit bounds the repeats of an ordinary request that is refused.
	answerLimit = 20 * time.Second
	startLimit  = 20 * time.Second
	callTimeout = 4 * time.Second
	sampleTime  = 20 * time.Millisecond
	host        = "fleet.example"
	pool        = "work"
	program     = "verbenalanding.example/verbenaentry"
)

// target is a process with lowered limits beside a stand-in of the platform.
type target struct {
	platform               *standin.Platform
	name                   string
	entry, readiness, peer netip.AddrPort

	path, settings string
	// key is that of the workspace that sends ordinary requests; empty where callers need none.
	key string
	// machines is the address of the list of machines, if it is not that of the stand-in.
	machines string
	command  *exec.Cmd
	exited   chan struct{}
	jobs     int
	client   *http.Client
	// machineMB is the memory limit of the process, for which its resident size and the bytes that it has not read count.
	machineMB int
	maxFDs    int
}

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "verbena-crowd-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "verbenaentry")
	if out, err := exec.Command("go", "build", "-o", path, program).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build verbenaentry: %w: %s", err, out)
	}
	return path, nil
})

// ports counts the addresses that the tests have used; the loopback address depends on the process ID, so that no other run uses it.
var ports uint16 = 21000

func nextAddr() netip.AddrPort {
	pid := os.Getpid()
	ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)}), ports)
}

// start starts the process and the stand-in, and waits until an ordinary request is answered. Both end with the test.
func start(t *testing.T, limitMB, limitFDs int) *target {
	t.Helper()
	s := prepare(t, limitMB, limitFDs)
	s.platform.Configure(1, host, 3)
	s.run(t)
	s.awaitAnswer(t, startLimit)
	return s
}

// prepare starts the stand-in, which has no configuration yet, and returns a process that is still to be started.
func prepare(t *testing.T, limitMB, limitFDs int) *target {
	t.Helper()
	return newTarget(t, startPlatform(t, pool), "n0", limitMB, limitFDs)
}

// startPlatform starts the stand-in with pools of two machines.
func startPlatform(t *testing.T, pools ...string) *standin.Platform {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group, groupCtx := errgroup.WithContext(ctx)
	p := &standin.Platform{
		Seed: 1, Pools: map[string]int{}, Capacity: wire.Resources{CPU: 8000, MemMb: 16000}, Tick: 5 * time.Millisecond,
	}
	for _, name := range pools {
		p.Pools[name] = 2
	}
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Errorf("stand-in: got %v, want no error", err)
		}
	})
	if err := p.Start(groupCtx, group); err != nil {
		t.Fatal(err)
	}
	return p
}

func newTarget(t *testing.T, p *standin.Platform, name string, limitMB, limitFDs int) *target {
	t.Helper()
	path, err := build()
	if err != nil {
		t.Fatal(err)
	}
	entry := nextAddr()
	return &target{
		platform: p, name: name, path: path, machineMB: limitMB, maxFDs: limitFDs, exited: make(chan struct{}),
		entry: entry, readiness: nextAddr(), peer: nextAddr(), client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// restart kills the process and starts it again, with what its store holds.
func (s *target) restart(t *testing.T) {
	t.Helper()
	if err := s.command.Process.Kill(); err != nil {
		t.Fatalf("process: got %v, want it alive", err)
	}
	<-s.exited
	s.exited = make(chan struct{})
	s.run(t)
	s.awaitAnswer(t, startLimit)
}

// writeSettings writes the settings file of the process, with its limits.
func (s *target) writeSettings(t *testing.T) string {
	t.Helper()
	p := s.platform
	path := filepath.Join(t.TempDir(), "settings.json")
	err := standin.WriteSettings(path, platform.Settings{
		Node: s.name, DataCentre: "z1", IP: s.peer.Addr(), Entry: s.entry, Readiness: s.readiness, PeerPorts: [2]uint16{s.peer.Port(), s.peer.Port()},
		Store: p.StoreAddr, Machines: p.CloudAddr, Cores: 1, MinLeaseTTL: 500 * time.Millisecond, Bounds: standin.Bounds(),
		Workspaces: s.key != "",
	})
	var content []byte
	if err == nil {
		content, err = os.ReadFile(path)
	}
	fields := map[string]any{}
	if err == nil {
		err = json.Unmarshal(content, &fields)
	}
	if err != nil {
		t.Fatal(err)
	}
	if s.machines != "" {
		fields["CloudApi"] = map[string]any{"Address": s.machines}
	}
	fields["Limits"] = map[string]any{"CpuShare": 1, "Cores": 1, "MemoryMb": s.machineMB, "MaxFds": s.maxFDs, "LinkMbps": 10}
	if content, err = json.Marshal(fields); err == nil {
		err = os.WriteFile(path, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// run starts the program; the test's end kills it by its ID.
func (s *target) run(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(t.ArtifactDir(), s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if s.settings == "" {
		s.settings = s.writeSettings(t)
	}
	s.command = exec.Command(s.path, "--settings", s.settings)
	s.command.Stdout, s.command.Stderr = log, log
	if err := s.command.Start(); err != nil {
		t.Fatal(err)
	}
	var waiting errgroup.Group
	command, exited := s.command, s.exited
	waiting.Go(func() error {
		defer close(exited)
		return command.Wait()
	})
	t.Cleanup(func() {
		_ = command.Process.Kill()
		// Wait reports that the process was killed.
		_ = waiting.Wait()
		_ = log.Close()
	})
}

// awaitAnswer submits an ordinary job until it is accepted, as a caller does that repeats what was refused.
func (s *target) awaitAnswer(t *testing.T, limit time.Duration) {
	t.Helper()
	s.awaitJob(t, smallJob, limit)
}

// awaitJob submits a job until it is accepted.
func (s *target) awaitJob(t *testing.T, job []byte, limit time.Duration) {
	t.Helper()
	s.jobs++
	q := standin.Request{Method: http.MethodPost, Host: host, Path: standin.PoolPrefix(pool) + fmt.Sprintf("%016x", s.jobs), Body: job, Key: s.key}
	var status int
	var err error
	tries := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * sampleTime) {
		tries++
		if status, _, err = q.Send(t.Context(), s.client, s.entry); status == http.StatusOK {
			t.Logf("ordinary request: answered at try %d", tries)
			return
		}
	}
	t.Errorf("ordinary request: got status %d and error %v at try %d, want %d", status, err, tries, http.StatusOK)
}

// awaitAnyAnswer sends an ordinary request until it is answered, with success or without.
func (s *target) awaitAnyAnswer(t *testing.T, limit time.Duration) {
	t.Helper()
	s.jobs++
	q := standin.Request{Method: http.MethodPost, Host: host, Path: standin.PoolPrefix(pool) + fmt.Sprintf("%016x", s.jobs), Body: smallJob, Key: s.key}
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * sampleTime) {
		var status int
		if status, _, err = q.Send(t.Context(), s.client, s.entry); err == nil {
			t.Logf("ordinary request: answered with %d", status)
			return
		}
	}
	t.Errorf("ordinary request: got %v, want an answer", err)
}

// awaitListener waits until the process accepts connections.
func (s *target) awaitListener(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(sampleTime) {
		if conn, err := net.DialTimeout("tcp", s.entry.String(), callTimeout); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatal("process: got no connection, want one")
}

// awaitHolder waits until a pool has a holder that knows its jobs.
func (s *target) awaitHolder(t *testing.T, pool string) {
	t.Helper()
	q := standin.Request{Method: http.MethodGet, Host: host, Path: standin.PoolPrefix(pool)}
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(10 * sampleTime) {
		if status, body, err := q.Send(t.Context(), s.client, s.entry); err == nil && status == http.StatusOK {
			t.Logf("waiting jobs: %s", bytes.TrimSpace(body))
			return
		}
	}
	t.Error("pool: got no holder, want one")
}

// peakMemory returns the largest resident size that the process has had, in kilobytes.
func (s *target) peakMemory(t *testing.T) int {
	t.Helper()
	peak, err := procfs.PeakResident(s.command.Process.Pid)
	if err != nil {
		t.Fatalf("process: got %v, want it alive", err)
	}
	return int(peak >> 10)
}

// send is what a client of the crowd does on its connection; a connection that the process closes ends it with an error, which is allowed.
type send func(conn net.Conn) error

// crowd is a number of clients that act at once. Each returns on a new connection once it has got an answer or lost its connection.
type crowd struct {
	clients, returns int
	act              send
	end              time.Time

	mu    sync.Mutex
	conns []net.Conn
	group errgroup.Group
}

// start lets the clients act. Their last connections stay open until close.
func (c *crowd) start(addr netip.AddrPort) {
	c.end = time.Now().Add(sendTime)
	for range c.clients {
		c.group.Go(func() error {
			for range c.returns {
				if conn := c.call(addr); conn != nil {
					_, _ = conn.Read(make([]byte, 1))
					_ = conn.Close()
				}
			}
			c.call(addr)
			return nil
		})
	}
}

// call opens a connection and acts on it; it returns nil without a connection.
func (c *crowd) call(addr netip.AddrPort) net.Conn {
	conn, err := net.DialTimeout("tcp", addr.String(), time.Until(c.end))
	if err != nil {
		return nil
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	// The process may close the connection at any time.
	_ = conn.SetDeadline(c.end)
	_ = c.act(conn)
	return conn
}

func (c *crowd) close() {
	_ = c.group.Wait()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// checkCrowd opens the connections of a crowd at once, and checks the process while they are open.
func (s *target) checkCrowd(t *testing.T, addr netip.AddrPort, clients int, act send, limitMB, limitFDs int) {
	t.Helper()
	s.check(t, addr, &crowd{clients: clients, act: act}, limitMB, limitFDs)
}

// check lets a crowd act, and checks the process while the crowd's connections are open.
func (s *target) check(t *testing.T, addr netip.AddrPort, c *crowd, limitMB, limitFDs int) {
	t.Helper()
	defer c.close()
	sampling := startSampler(t.Context(), s)
	c.start(addr)
	_ = c.group.Wait()
	time.Sleep(holdTime)
	s.awaitAnswer(t, answerLimit)
	s.awaitJob(t, largeJob(), answerLimit)
	s.checkUsage(t, sampling.end(), limitMB, limitFDs)
}

// checkUsage checks that the process lives and what it has used.
func (s *target) checkUsage(t *testing.T, most usage, limitMB, limitFDs int) {
	t.Helper()
	select {
	case <-s.exited:
		t.Fatalf("process: got its end (%v), want it alive", s.command.ProcessState)
	default:
	}
	peak := s.peakMemory(t)
	t.Logf("peak memory %.1f MB, unread %.1f MB, both %.1f MB, at most %d descriptors, %d sockets", float64(peak)/1024, float64(most.unread)/(1<<20),
		float64(most.total)/(1<<20), most.descriptors, most.sockets)
	if peak > limitMB<<10 {
		t.Errorf("peak memory: got %d kB, want at most %d kB", peak, limitMB<<10)
	}
	if most.total > int64(s.machineMB)<<20 {
		t.Errorf("memory and unread bytes at one moment: got %d kB, want at most %d kB", most.total>>10, s.machineMB<<10)
	}
	if most.sockets > limitFDs-reservedFDs {
		t.Errorf("open sockets: got %d, want at most %d", most.sockets, limitFDs-reservedFDs)
	}
	if most.descriptors > limitFDs {
		t.Errorf("open descriptors: got %d, want at most %d", most.descriptors, limitFDs)
	}
}
