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

// stopGracePeriod is the time from SIGTERM until a process is killed.
const stopGracePeriod = 6 * time.Second

// process is an entry instance that is restarted whenever it ends.
type process struct {
	settings  platform.Settings
	gate      *standin.Gate
	network   *network
	clockRate float64
	log       io.Writer

	mu      sync.Mutex
	host    *host
	cancel  context.CancelFunc
	signals chan os.Signal
	// ended is closed when the current incarnation ends.
	ended   chan struct{}
	running bool
	// pauses counts overlapping pauses.
	pauses int
	// downtime is the time until the next start of the process.
	downtime time.Duration
	// failures holds the errors of incarnations that ended without being killed or stopped.
	failures      []error
	stopRequested bool
}

// run keeps the process running until the context ends. It waits for the downtime before each start.
func (p *process) run(ctx context.Context) error {
	for {
		p.mu.Lock()
		downtime := p.downtime
		p.mu.Unlock()
		if err := sleep(ctx, downtime); err != nil {
			return nil
		}
		p.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (p *process) runOnce(ctx context.Context) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := p.network.addHost(p.settings.IP, p.clockRate, false)
	signals, ended := make(chan os.Signal, 4), make(chan struct{})
	defer close(ended)
	p.mu.Lock()
	p.host, p.cancel, p.signals, p.ended, p.running, p.pauses, p.stopRequested = h, cancel, signals, ended, true, 0, false
	p.mu.Unlock()
	environment := node.Environment{Dial: h.dial, Elapsed: h.uptime, Listen: h.listen}
	flags := node.Flags{DutyTTL: 2500 * time.Millisecond, WorkerLease: 3500 * time.Millisecond, LogLevel: "info"}
	err := node.RunInEnvironment(runCtx, environment, p.settings, os.DevNull, flags, p.log, signals)
	p.mu.Lock()
	p.running = false
	if err != nil && !p.stopRequested && ctx.Err() == nil {
		p.failures = append(p.failures, err)
	}
	p.mu.Unlock()
	h.kill(false)
}

// kill ends the process immediately; it restarts after the given time. If powerLoss is true, connections to it get no answer.
func (p *process) kill(powerLoss bool, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running || p.host.stopped {
		return
	}
	p.stopRequested, p.downtime = true, downtime
	p.host.kill(powerLoss)
	if powerLoss {
		p.network.removeHost(p.settings.IP)
	}
	p.cancel()
}

// terminate sends SIGTERM to the process and waits until it ends. It is killed after the grace period.
func (p *process) terminate(ctx context.Context, downtime time.Duration) {
	p.mu.Lock()
	if !p.running || p.stopRequested {
		p.mu.Unlock()
		return
	}
	p.stopRequested, p.downtime = true, downtime
	signals, ended := p.signals, p.ended
	p.mu.Unlock()
	signals <- syscall.SIGTERM
	timer := time.NewTimer(stopGracePeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-timer.C:
		p.kill(false, downtime)
	}
}

// pause pauses or resumes the current incarnation of the process. Overlapping pauses are counted.
func (p *process) pause(h *host, paused bool) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused {
		if !p.running {
			return nil
		}
		p.pauses++
		p.host.setPaused(true)
		return p.host
	}
	if h != nil && h == p.host {
		if p.pauses--; p.pauses == 0 {
			h.setPaused(false)
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
