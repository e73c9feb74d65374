package days

import (
	"context"
	"io"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/verbenaentry/node"
)

// Ports of an entry instance.
const (
	portEntry     = 8000
	portReadiness = 8001
	portPeer      = 9000
)

// grace is the time from the signal to stop a process to its kill.
const grace = 6 * time.Second

// process is an entry instance that is started again after each end.
type process struct {
	settings platform.Settings
	gate     *standin.Gate
	net      *network
	rate     float64
	log      io.Writer

	mu      sync.Mutex
	host    *host
	cancel  context.CancelFunc
	signals chan os.Signal
	// ended is closed at the end of the present life.
	ended   chan struct{}
	running bool
	// pauses counts those that overlap.
	pauses int
	// down is the time until the next start.
	down time.Duration
	// failures are the ends of processes that nobody asked for.
	failures []error
	asked    bool
}

// run plays the lives of the process until the context ends.
func (p *process) run(ctx context.Context) error {
	for {
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if err := sleep(ctx, down); err != nil {
			return nil
		}
		p.live(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (p *process) live(ctx context.Context) {
	lifeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := p.net.host(p.settings.IP, p.rate, false)
	signals, ended := make(chan os.Signal, 4), make(chan struct{})
	defer close(ended)
	p.mu.Lock()
	p.host, p.cancel, p.signals, p.ended, p.running, p.pauses, p.asked = h, cancel, signals, ended, true, 0, false
	p.mu.Unlock()
	environment := node.Environment{Dial: h.dial, Elapsed: h.since, Listen: h.listen}
	flags := node.Flags{DutyTTL: 2500 * time.Millisecond, WorkerLease: 3500 * time.Millisecond, LogLevel: "info"}
	err := node.RunInEnvironment(lifeCtx, environment, p.settings, os.DevNull, flags, p.log, signals)
	p.mu.Lock()
	p.running = false
	if err != nil && !p.asked && ctx.Err() == nil {
		p.failures = append(p.failures, err)
	}
	p.mu.Unlock()
	h.kill(false)
}

// kill ends the process at once and starts it again after a time; without power nobody hears of it.
func (p *process) kill(silent bool, down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running || p.host.dead {
		return
	}
	p.asked, p.down = true, down
	p.host.kill(silent)
	if silent {
		p.net.away(p.settings.IP)
	}
	p.cancel()
}

// terminate asks the process to stop and waits for that; it is killed after its grace time.
func (p *process) terminate(ctx context.Context, down time.Duration) {
	p.mu.Lock()
	if !p.running || p.asked {
		p.mu.Unlock()
		return
	}
	p.asked, p.down = true, down
	signals, ended := p.signals, p.ended
	p.mu.Unlock()
	signals <- syscall.SIGTERM
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-timer.C:
		p.kill(false, down)
	}
}

// pause suspends the present life of the process, or lets it go on; pauses that overlap count.
func (p *process) pause(h *host, on bool) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		if !p.running {
			return nil
		}
		p.pauses++
		p.host.freeze(true)
		return p.host
	}
	if h != nil && h == p.host {
		if p.pauses--; p.pauses == 0 {
			h.freeze(false)
		}
	}
	return nil
}

func settings(name string, ip netip.Addr, cores float64, store, machines netip.AddrPort, bounds platform.Bounds) platform.Settings {
	return platform.Settings{
		Node: name, DataCentre: "z1", IP: ip, Entry: netip.AddrPortFrom(ip, portEntry), Readiness: netip.AddrPortFrom(ip, portReadiness),
		PeerPorts: [2]uint16{portPeer, portPeer}, Store: store, Machines: machines, Cores: cores, Bounds: bounds,
		MinLeaseTTL: 500 * time.Millisecond,
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
