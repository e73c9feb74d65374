package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/verbenalanding/settings"
)

// ErrListen is returned when an address cannot be bound.
var ErrListen = errors.New("address cannot be used")

// Platform combines the platform's interfaces for instances and for workers.
type Platform interface {
	platform.Control
	platform.Workers
}

// MaintenanceTiming holds the intervals and delays of planned stops.
type MaintenanceTiming struct {
	// Step is the interval between two steps of a maintenance loop, DrainPoll the interval at which the entry instances are polled for
	// their drain status.
	Step, DrainPoll time.Duration
	// Check is how long an instance must be healthy before it serves, SpareDelay how long an unassigned instance is reserved for pools
	// that are not spare.
	Check, SpareDelay time.Duration
	// ClockSkew is how far the clocks of the platform and of the holder may differ.
	ClockSkew time.Duration
}

// Daemon runs an entry instance; set the exported fields before Run.
type Daemon struct {
	Settings settings.Settings
	Version  string
	Log      zerolog.Logger
	// Store and Platform default to clients of the addresses in the settings when nil.
	Store    store.Store
	Platform Platform

	// Timing shortens the intervals of planned stops in tests and demonstrations; zero values select the defaults.
	Timing MaintenanceTiming

	configLog atomic.Pointer[configuration.Log]
	// callers, operators and peers are opened by Listen.
	callers, operators *inlet.Listener
	peers              net.Listener
}

const (
	// maxCallerConnections and maxOperatorConnections bound the connections, so that clients that keep them open leave descriptors for the daemon itself.
	maxCallerConnections   = 4096
	maxOperatorConnections = 256
	// longestUse is the time for which a request is handled from which on its connection makes place for a new one, if none waits for its client: the longest
	// deadline of a caller.
	longestUse = time.Minute
	// answerTimeout is the time for which a client reads nothing of its answer.
	answerTimeout = 10 * time.Second
)

func limited(l net.Listener, connections int) *inlet.Listener {
	return &inlet.Listener{Listener: l, Limit: connections, LongestUse: longestUse, AnswerTimeout: answerTimeout}
}

// Listen opens the listeners, or returns an error that wraps ErrListen and names the setting.
func (d *Daemon) Listen() error {
	for _, l := range []struct {
		flag string
		addr netip.AddrPort
		keep func(net.Listener)
	}{
		{"caller-addr", d.Settings.CallerAddr.AddrPort, func(l net.Listener) { d.callers = limited(l, maxCallerConnections) }},
		{"operator-addr", d.Settings.OperatorAddr.AddrPort, func(l net.Listener) { d.operators = limited(l, maxOperatorConnections) }},
		{"peer-addr", d.Settings.PeerAddr.AddrPort, func(l net.Listener) { d.peers = l }},
	} {
		listener, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			d.closeListeners()
			return fmt.Errorf("%w: --%s %s: %w; choose another one or stop the process that uses it", ErrListen, l.flag, l.addr, err)
		}
		l.keep(listener)
	}
	return nil
}

func (d *Daemon) closeListeners() {
	if d.callers != nil {
		_ = d.callers.Close()
	}
	if d.operators != nil {
		_ = d.operators.Close()
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
}

// CallerAddr returns the bound address of the callers' listener; it requires Listen.
func (d *Daemon) CallerAddr() netip.AddrPort { return boundAddress(d.callers) }

// OperatorAddr returns the bound address of the operators' listener; it requires Listen.
func (d *Daemon) OperatorAddr() netip.AddrPort { return boundAddress(d.operators) }

// PeerAddr returns the bound address of the listener for other entry instances; it requires Listen.
func (d *Daemon) PeerAddr() netip.AddrPort { return boundAddress(d.peers) }

func boundAddress(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

// Revision returns the configuration revision in force; 0 before the first one has been read.
func (d *Daemon) Revision() uint64 {
	l := d.configLog.Load()
	if l == nil {
		return 0
	}
	_, revision, _ := l.Current()
	return revision
}

// Run serves until the context ends, then finishes the requests in flight and releases its duties.
func (d *Daemon) Run(ctx context.Context) error {
	if d.callers == nil {
		if err := d.Listen(); err != nil {
			return err
		}
	}
	if d.Store == nil {
		d.Store = store.NewRemote(d.Settings.StoreAddr.AddrPort)
	}
	if d.Platform == nil {
		d.Platform = platform.NewRemote(d.Settings.PlatformAddr.AddrPort)
	}
	container := dig.New()
	for _, constructor := range d.constructors() {
		if err := container.Provide(constructor); err != nil {
			return fmt.Errorf("provide %T: %w", constructor, err)
		}
	}
	return dig.RootCause(container.Invoke(func(c components) error { return c.run(ctx) }))
}

func (d *Daemon) constructors() []any {
	return []any{
		func() *Daemon { return d },
		func() zerolog.Logger { return d.Log.With().Str("entry", d.Settings.ID).Logger() },
		metrics.NewRegistry,
		newStores,
		newMirrors,
		newConfigurationLog,
		newDutyManager,
		newTracker,
		newNode,
		newClaims,
		newDemands,
		newView,
		newEntry,
		newObserver,
		newDuties,
		newRecords,
		newOperator,
	}
}
