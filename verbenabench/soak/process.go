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

// process is an entry instance that runs as a program of its own; it is started again after it ends.
type process struct {
	program  string
	settings platform.Settings
	path     string
	log      *os.File
	gate     *standin.Gate
	store    *proxy
	// peer is where this process listens to others, and peers are the proxies through which each other one reaches it.
	peer   netip.AddrPort
	peers  map[*process]*proxy
	group  *errgroup.Group
	client *http.Client

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
	// gone is true after the end of the present life.
	gone bool
	// life counts the starts.
	life int
	// away is how long the process is not started again after the end of its present life.
	away time.Duration
	// version is the newest marker that this life has answered.
	version int64
}

// firstPort is the lowest port of the run's entry instances.
const firstPort = 20001

// nextAddr returns an address of the run's own: other soaks on the machine have other process ids, and so other addresses of
// the loopback network.
func (s *Soak) nextAddr() netip.AddrPort {
	pid := os.Getpid()
	addr := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
	s.addrs++
	return netip.AddrPortFrom(addr, uint16(firstPort+s.addrs))
}

func (s *Soak) newProcess(name string, group *errgroup.Group) (*process, error) {
	entry, readiness, peer := s.nextAddr(), s.nextAddr(), s.nextAddr()
	gate, err := s.platform.OpenGate()
	if err != nil {
		return nil, err
	}
	store, err := newProxy(gate.Addr, group)
	if err != nil {
		return nil, err
	}
	p := &process{program: s.Program, gate: gate, store: store, peer: peer, peers: map[*process]*proxy{}, group: group, client: &http.Client{Timeout: callTimeout}}
	p.path = filepath.Join(s.dir, name+".json")
	p.settings = platform.Settings{
		Node: name, DataCentre: "z1", IP: entry.Addr(), Entry: entry, Readiness: readiness,
		PeerPorts: [2]uint16{peer.Port(), peer.Port()}, Store: store.addr, Machines: s.platform.CloudAddr, Cores: 1, MemoryMB: 256,
		MinLeaseTTL: 500 * time.Millisecond, Bounds: standin.Bounds(),
	}
	if err := standin.WriteSettings(p.path, p.settings); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(s.dir, name+".log"))
	return p, err
}

// connect has each two processes reach each other through proxies of their own, so that they can be cut from each other only. The store shows
// each of them the proxies' addresses: a node has one address to listen at and to register.
func (s *Soak) connect(group *errgroup.Group) {
	for _, p := range s.processes {
		for _, other := range s.processes {
			if p == other {
				continue
			}
			x := &proxy{target: p.peer, addr: s.nextAddr(), group: group, links: map[*link]struct{}{}}
			p.peers[other] = x
			other.gate.Translate(p.peer.String(), x.addr.String())
			s.addProxy(x)
		}
	}
}

// start starts the program; it is killed by its id when the context ends.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.CommandContext(ctx, p.program, "--settings", p.path)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.settings.Node, err)
	}
	p.command, p.exited, p.paused, p.gone, p.version, p.away = c, make(chan struct{}), false, false, 0, restartAfter
	p.life++
	exited := p.exited
	p.group.Go(func() error { return p.openPeers(ctx, exited) })
	return nil
}

// listenEvery is how often a process that starts is tried.
const listenEvery = 20 * time.Millisecond

// openPeers lets other processes reach a life once it listens: a process that is gone must refuse connections through the proxies too.
func (p *process) openPeers(ctx context.Context, exited chan struct{}) error {
	for !p.reachable(exited) {
		select {
		case <-ctx.Done():
			return nil
		case <-exited:
			return nil
		case <-time.After(listenEvery):
		}
	}
	return nil
}

// reachable reports whether a life's proxies were opened, or need not be any more. An address was once still in use 0.3 s after the listener
// of the life before was closed (seed 800), so a failure is not the end.
func (p *process) reachable(exited chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", p.peer.String(), listenEvery)
	if err != nil {
		return false
	}
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != exited || p.gone {
		return true
	}
	for _, x := range p.peers {
		if x.open() != nil {
			return false
		}
	}
	return true
}

// wait returns when the present life has ended.
func (p *process) wait() error {
	p.mu.Lock()
	c, exited := p.command, p.exited
	p.mu.Unlock()
	err := c.Wait()
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	for _, x := range p.peers {
		x.shut()
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
	// A process that has just ended takes no signal.
	_ = p.command.Process.Signal(s)
}

// kill ends the present life at once; the next one begins after a time.
func (p *process) kill(away time.Duration) {
	p.mu.Lock()
	p.away = away
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

func (p *process) awayNow() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.away
}

func (p *process) lifeNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
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
			return fmt.Errorf("%s ended by itself: %w", p.settings.Node, err)
		}
		interval.Wait(ctx, p.awayNow())
	}
	return nil
}
