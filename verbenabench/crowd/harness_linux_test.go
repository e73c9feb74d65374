//go:build crowd

package crowd_test

import (
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
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
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
	entry, readiness, peer netip.AddrPort

	command *exec.Cmd
	exited  chan struct{}
	jobs    int
	client  *http.Client
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
	path, err := build()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, groupCtx := errgroup.WithContext(ctx)
	p := &standin.Platform{
		Seed: 1, Pools: map[string]int{pool: 2}, Capacity: wire.Resources{CPU: 8000, MemMb: 16000}, Tick: 5 * time.Millisecond,
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
	p.Configure(1, host, 3)
	s := &target{entry: nextAddr(), readiness: nextAddr(), peer: nextAddr(), exited: make(chan struct{})}
	s.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	s.run(t, path, writeSettings(t, p, s, limitMB, limitFDs))
	s.awaitAnswer(t, startLimit)
	return s
}

// writeSettings writes the settings file of the process, with its limits.
func writeSettings(t *testing.T, p *standin.Platform, s *target, limitMB, limitFDs int) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	err := standin.WriteSettings(path, platform.Settings{
		Node: "n0", DataCentre: "z1", IP: s.peer.Addr(), Entry: s.entry, Readiness: s.readiness, PeerPorts: [2]uint16{s.peer.Port(), s.peer.Port()},
		Store: p.StoreAddr, Machines: p.CloudAddr, Cores: 1, MinLeaseTTL: 500 * time.Millisecond, Bounds: standin.Bounds(),
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
	fields["Limits"] = map[string]any{"CpuShare": 1, "Cores": 1, "MemoryMb": limitMB, "MaxFds": limitFDs, "LinkMbps": 10}
	if content, err = json.Marshal(fields); err == nil {
		err = os.WriteFile(path, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// run starts the program; the test's end kills it by its ID.
func (s *target) run(t *testing.T, path, settings string) {
	t.Helper()
	log, err := os.Create(filepath.Join(t.ArtifactDir(), "verbenaentry.log"))
	if err != nil {
		t.Fatal(err)
	}
	s.command = exec.Command(path, "--settings", settings)
	s.command.Stdout, s.command.Stderr = log, log
	if err := s.command.Start(); err != nil {
		t.Fatal(err)
	}
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer close(s.exited)
		return s.command.Wait()
	})
	t.Cleanup(func() {
		_ = s.command.Process.Kill()
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
	q := standin.Request{Method: http.MethodPost, Host: host, Path: standin.PoolPrefix(pool) + fmt.Sprintf("%016x", s.jobs), Body: job}
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

// openFDs returns the number of the process's open descriptors and how many of them are sockets.
func (s *target) openFDs() (all, sockets int) {
	dir := fmt.Sprintf("/proc/%d/fd", s.command.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			sockets++
		}
	}
	return len(entries), sockets
}

// peakMemory returns the largest resident size that the process has had, in kilobytes.
func (s *target) peakMemory(t *testing.T) int {
	t.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	if err != nil {
		t.Fatalf("process: got %v, want it alive", err)
	}
	for line := range strings.Lines(string(content)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			size, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return size
		}
	}
	t.Fatal("process: got no peak of its memory, want it alive")
	return 0
}

// send is what a client of the crowd does on its connection; a connection that the process closes ends it with an error, which is allowed.
type send func(conn net.Conn) error

// checkCrowd opens the connections of a crowd at once, and checks the process while they are open.
func (s *target) checkCrowd(t *testing.T, addr netip.AddrPort, clients int, act send, limitMB, limitFDs int) {
	t.Helper()
	before := s.peakMemory(t)
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	var crowd errgroup.Group
	end := time.Now().Add(sendTime)
	for range clients {
		crowd.Go(func() error {
			conn, err := net.DialTimeout("tcp", addr.String(), sendTime)
			if err != nil {
				return nil
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			// The process may close the connection at any time.
			_ = conn.SetDeadline(end)
			_ = act(conn)
			return nil
		})
	}
	sampleCtx, stop := context.WithCancel(t.Context())
	var sampling errgroup.Group
	var mostFDs, mostSockets int
	sampling.Go(func() error {
		for sampleCtx.Err() == nil {
			all, sockets := s.openFDs()
			mostFDs, mostSockets = max(mostFDs, all), max(mostSockets, sockets)
			time.Sleep(sampleTime)
		}
		return nil
	})
	_ = crowd.Wait()
	time.Sleep(holdTime)
	s.awaitAnswer(t, answerLimit)
	s.awaitJob(t, largeJob(), answerLimit)
	stop()
	_ = sampling.Wait()
	select {
	case <-s.exited:
		t.Fatalf("process: got its end (%v), want it alive", s.command.ProcessState)
	default:
	}
	peak := s.peakMemory(t)
	t.Logf("peak memory %.1f MB (%.1f MB before), at most %d descriptors, %d sockets", float64(peak)/1024, float64(before)/1024, mostFDs, mostSockets)
	if peak > limitMB<<10 {
		t.Errorf("peak memory: got %d kB, want at most %d kB", peak, limitMB<<10)
	}
	if mostSockets > limitFDs-reservedFDs {
		t.Errorf("open sockets: got %d, want at most %d", mostSockets, limitFDs-reservedFDs)
	}
	if mostFDs > limitFDs {
		t.Errorf("open descriptors: got %d, want at most %d", mostFDs, limitFDs)
	}
}
