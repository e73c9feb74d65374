package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
)

// process is an entry instance that runs as a separate operating system process and is restarted whenever it ends.
type process struct {
	program      string
	settings     platform.Settings
	settingsPath string
	log          *os.File
	gate         *standin.Gate
	storeProxy   *proxy
	// peerAddr is the address at which this process listens for the others, and peerProxies holds the proxy through which each of them reaches
	// it.
	peerAddr    netip.AddrPort
	peerProxies map[*process]*proxy
	group       *errgroup.Group
	client      *http.Client

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
	// down is true after the current incarnation has ended.
	down bool
	// incarnation is the number of starts.
	incarnation int
	// downtime is the time from the end of the current incarnation to the restart.
	downtime time.Duration
	// version is the newest configuration version that the current incarnation has served.
	version int64
}

// firstPort is the base of the ports of the run's entry instances.
const firstPort = 20001

// nextAddr returns an address that no other run on the machine uses: the loopback address depends on the process ID.
func (s *Soak) nextAddr() netip.AddrPort {
	pid := os.Getpid()
	addr := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
	s.addrCount++
	return netip.AddrPortFrom(addr, uint16(firstPort+s.addrCount))
}

func (s *Soak) newProcess(name string, group *errgroup.Group) (*process, error) {
	entry, readiness, peer := s.nextAddr(), s.nextAddr(), s.nextAddr()
	gate, err := s.platform.OpenGate()
	if err != nil {
		return nil, err
	}
	gate.LimitRate(linkRate)
	store, err := newProxy(gate.Addr, group)
	if err != nil {
		return nil, err
	}
	p := &process{program: s.Program, gate: gate, storeProxy: store, peerAddr: peer, peerProxies: map[*process]*proxy{}, group: group, client: &http.Client{Timeout: callTimeout}}
	p.settingsPath = filepath.Join(s.dir, name+".json")
	p.settings = platform.Settings{
		Node: name, DataCentre: "z1", IP: entry.Addr(), Entry: entry, Readiness: readiness,
		PeerPorts: [2]uint16{peer.Port(), peer.Port()}, Store: store.addr, Machines: s.platform.CloudAddr, Cores: 1, MemoryMB: 256,
		MinLeaseTTL: 500 * time.Millisecond, Bounds: standin.Bounds(), Workspaces: true,
	}
	if err := standin.WriteSettings(p.settingsPath, p.settings); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	return p, err
}

// connect creates a proxy for each direction between two processes, so that a pair can be disconnected from each other only. The store's
// gate replaces the registered addresses by those of the proxies, since a node has only one address to listen at and to register.
func (s *Soak) connect(group *errgroup.Group) {
	for _, p := range s.processes {
		for _, other := range s.processes {
			if p == other {
				continue
			}
			peerProxy := &proxy{target: p.peerAddr, addr: s.nextAddr(), group: group, conns: map[*proxyConn]struct{}{}}
			p.peerProxies[other] = peerProxy
			other.gate.Translate(p.peerAddr.String(), peerProxy.addr.String())
			s.addProxy(peerProxy)
		}
	}
}

// start starts the program. The process is killed by its ID when the context ends.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.CommandContext(ctx, p.program, "--settings", p.settingsPath)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.settings.Node, err)
	}
	p.command, p.exited, p.paused, p.down, p.version, p.downtime = c, make(chan struct{}), false, false, 0, restartDelay
	p.incarnation++
	exited := p.exited
	p.group.Go(func() error { return p.awaitPeerProxies(ctx, exited) })
	return nil
}

// dialInterval is the interval of the connection attempts to a starting process.
const dialInterval = 20 * time.Millisecond

// awaitPeerProxies opens the proxies to an incarnation once it listens. Until then connections through the proxies must be refused, like
// those to a process that is not running.
func (p *process) awaitPeerProxies(ctx context.Context, exited chan struct{}) error {
	for !p.openPeerProxies(exited) {
		select {
		case <-ctx.Done():
			return nil
		case <-exited:
			return nil
		case <-time.After(dialInterval):
		}
	}
	return nil
}

// openPeerProxies tries to open an incarnation's proxies. It reports whether they are open or the incarnation has ended. A failure is
// retried: an address can still be in use 0.3 s after the listener of the previous incarnation was closed (seed 800).
func (p *process) openPeerProxies(exited chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", p.peerAddr.String(), dialInterval)
	if err != nil {
		return false
	}
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != exited || p.down {
		return true
	}
	for _, peerProxy := range p.peerProxies {
		if peerProxy.open() != nil {
			return false
		}
	}
	return true
}

// wait waits until the current incarnation has ended.
func (p *process) wait() error {
	p.mu.Lock()
	c, exited := p.command, p.exited
	p.mu.Unlock()
	err := c.Wait()
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	for _, peerProxy := range p.peerProxies {
		peerProxy.closeListener()
	}
	close(exited)
	return err
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	// Sending a signal fails if the process has just ended.
	_ = p.command.Process.Signal(s)
}

// kill kills the current incarnation; the process restarts after the given time.
func (p *process) kill(downtime time.Duration) {
	p.mu.Lock()
	p.downtime = downtime
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

func (p *process) currentDowntime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downtime
}

func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// run keeps the program running until the context ends.
func (p *process) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.start(ctx); err != nil {
			return err
		}
		err := p.wait()
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.Exited() && ctx.Err() == nil {
			return fmt.Errorf("%s ended unexpectedly: %w", p.settings.Node, err)
		}
		interval.Wait(ctx, p.currentDowntime())
	}
	return nil
}
