package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/logs"
)

// ErrListen is returned when the node cannot listen on an address.
var ErrListen = errors.New("address cannot be used")

// ErrFlags is returned by Flags.Check for a flag that is out of range.
var ErrFlags = errors.New("invalid flag")

// Flags are the settings of a node that are not part of the platform's settings file.
type Flags struct {
	DutyTTL     time.Duration `long:"duty-ttl" env:"VERBENA_DUTY_TTL" default:"2500ms" description:"time after which an unreachable holder loses its duties"`
	WorkerLease time.Duration `long:"worker-lease" env:"VERBENA_WORKER_LEASE" default:"3500ms" description:"time for which a worker keeps its runs without a lease renewal"`
	LargeTask   float64       `long:"large-task" env:"VERBENA_LARGE_TASK" description:"share of a worker from which on a waiting task gets a reservation; 0 for none"`
	SecondRuns  bool          `long:"second-runs" env:"VERBENA_SECOND_RUNS" description:"start second runs of speculative tasks that take long"`
	Intake      IntakeFlags   `group:"Intake"`
	LogLevel    string        `long:"log-level" env:"VERBENA_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log lines"`
}

// The range of --large-task, as shares of a worker.
const (
	leastLargeTask = 0.05
	mostLargeTask  = 1
)

// Check returns ErrFlags, with the flag's name, if a flag is out of range.
func (f Flags) Check() error {
	const shortest = 500 * time.Millisecond
	if f.DutyTTL < shortest || f.DutyTTL > time.Minute {
		return fmt.Errorf("%w: --duty-ttl is %v, want %v to %v", ErrFlags, f.DutyTTL, shortest, time.Minute)
	}
	if f.WorkerLease < shortest || f.WorkerLease > time.Minute {
		return fmt.Errorf("%w: --worker-lease is %v, want %v to %v", ErrFlags, f.WorkerLease, shortest, time.Minute)
	}
	if f.LargeTask != 0 && !(f.LargeTask >= leastLargeTask && f.LargeTask <= mostLargeTask) {
		return fmt.Errorf("%w: --large-task is %v, want %v to %v", ErrFlags, f.LargeTask, leastLargeTask, mostLargeTask)
	}
	return f.Intake.check()
}

// memoryLimitPercent is the percentage of the process's memory limit above which garbage is collected more often; the platform kills a
// process that exceeds its limit.
const memoryLimitPercent = 55

// Node is a running entry instance.
type Node struct {
	Settings     platform.Settings
	SettingsPath string
	Flags        Flags
	Log          zerolog.Logger
	Clock        *monotonic.Clock
	Store        *platform.Store
	Workers      *platform.Workers
	Machines     *platform.Machines
	Advice       *platform.Advice
	Elector      *leadership.Elector
	View         *View
	Peers        *Peers
	Registry     metrics.Registry
	StoreTimeout *storeTimeout

	pools         pools
	claimedOrders newestOrders
	queuePools    queuePools
	outlooks      outlooks
	jobLimits     jobLimits
	uncounted     uncountedJobs
	leaving       atomic.Bool
	// refusals limits the log lines for refused requests.
	refusals logs.Budget
	// intake bounds what clients can take of the process.
	intake *clientIntake
	// listenAt opens the node's listeners.
	listenAt func(addr netip.AddrPort, b inlet.Buffers) (net.Listener, error)
	// notifications runs the calls that notify holders of stored requests; nothing waits for them, and their timeout ends them.
	notifications errgroup.Group
}

// Run runs an entry instance until SIGTERM.
func Run(ctx context.Context, settings platform.Settings, settingsPath string, flags Flags, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	return RunWithSignals(ctx, settings, settingsPath, flags, out, signals)
}

// RunWithSignals runs an entry instance until a signal to stop arrives on signals; the end of the context stops it immediately, as SIGKILL
// would.
func RunWithSignals(ctx context.Context, settings platform.Settings, settingsPath string, flags Flags, out io.Writer, signals <-chan os.Signal) error {
	return RunInEnvironment(ctx, Environment{}, settings, settingsPath, flags, out, signals)
}

// RunInEnvironment runs an entry instance like RunWithSignals, with the given network and clock.
func RunInEnvironment(ctx context.Context, environment Environment, settings platform.Settings, settingsPath string, flags Flags, out io.Writer, signals <-chan os.Signal) error {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(settings.MemoryMB << 20 * memoryLimitPercent / 100)
	}
	logWriter := logs.NewWriter(out)
	logCtx, endLogs := context.WithCancel(context.WithoutCancel(ctx))
	var logGroup errgroup.Group
	logGroup.Go(func() error { return logWriter.Run(logCtx) })
	defer func() {
		endLogs()
		_ = logGroup.Wait()
	}()
	container := dig.New()
	for _, constructor := range []any{
		func() platform.Settings { return settings },
		func() Flags { return flags },
		func() Environment { return environment },
		func() zerolog.Logger { return newLogger(logWriter, flags, settings) },
		Environment.clock, Environment.client, metrics.NewRegistry, func() *storeTimeout { return &storeTimeout{} }, newStore, newWorkers, newMachines, newAdvice, newElector, newView, newPeers,
		newNode,
	} {
		if err := container.Provide(constructor); err != nil {
			return fmt.Errorf("construct node: %w", err)
		}
	}
	var runErr error
	err := container.Invoke(func(n *Node) {
		n.SettingsPath = settingsPath
		n.listenAt = environment.listen
		runErr = n.run(ctx, signals)
	})
	return cmp.Or(runErr, err)
}

func newLogger(w *logs.Writer, flags Flags, settings platform.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(flags.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	setTimeFormat()
	return zerolog.New(w).Level(level).With().Timestamp().Str("node", settings.Node).Logger()
}

// setTimeFormat sets the log library's time format once per process: other nodes in the same process may already be logging.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs })

func newStore(c *platform.Client, s platform.Settings, registry metrics.Registry, timeout *storeTimeout) *platform.Store {
	return &platform.Store{Client: c, Addr: s.Store, OnCall: func(mechanism, outcome string, took time.Duration) {
		observe(registry, "storeCalls."+mechanism+"."+outcome, took)
		if mechanism != "watch" && platform.Answered(outcome) {
			timeout.record(took)
		}
	}}
}

func newWorkers(c *platform.Client) *platform.Workers { return &platform.Workers{Client: c} }

func newMachines(c *platform.Client, s platform.Settings) *platform.Machines {
	return &platform.Machines{Client: c, Addr: s.Machines}
}

func newAdvice(c *platform.Client, s platform.Settings) *platform.Advice {
	return &platform.Advice{Client: c, Addr: s.Advice}
}

func newElector(s platform.Settings, f Flags, st *platform.Store, clock *monotonic.Clock, log zerolog.Logger) *leadership.Elector {
	elector := &leadership.Elector{
		Store: st, TTL: max(f.DutyTTL, s.MinLeaseTTL), Clock: clock.Now,
		Self:    leadership.Member{Node: s.Node, Session: rand.Text()[:8], Peer: netip.AddrPortFrom(s.IP, s.PeerPorts[0]), Cores: s.Cores},
		OnEvent: func(e leadership.Event) { logLeadership(log, e) },
	}
	onCall := st.OnCall
	st.OnCall = func(mechanism, outcome string, took time.Duration) {
		onCall(mechanism, outcome, took)
		if platform.Answered(outcome) {
			elector.RecordStoreContact()
		}
	}
	return elector
}

func newNode(s platform.Settings, f Flags, log zerolog.Logger, clock *monotonic.Clock, st *platform.Store, w *platform.Workers,
	m *platform.Machines, a *platform.Advice, elector *leadership.Elector, v *View, p *Peers, r metrics.Registry, timeout *storeTimeout,
) *Node {
	return &Node{
		Settings: s, Flags: f, Log: log, Clock: clock, Store: st, Workers: w, Machines: m, Advice: a, Elector: elector, View: v, Peers: p, Registry: r,
		StoreTimeout: timeout, refusals: logs.Budget{PerSecond: refusalLines}, intake: newClientIntake(s, f),
	}
}

const (
	// shutdownDelay is how long a stopping node still serves requests: the load balancer removes it after two failed probes, one a
	// second.
	shutdownDelay = 2600 * time.Millisecond
	// leaveTimeout bounds the release of the node's duties.
	leaveTimeout = 1500 * time.Millisecond
	// killMargin is how long before the end of the grace period, at which the platform kills the process, the node aborts open requests.
	killMargin = 700 * time.Millisecond
)

func (n *Node) run(ctx context.Context, signals <-chan os.Signal) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.Log.Info().Str("session", n.Elector.Self.Session).Str("entry", n.Settings.Entry.String()).
		Str("peer", n.Elector.Self.Peer.String()).Msg("started")
	group, groupCtx := errgroup.WithContext(runCtx)
	n.notifications.SetLimit(notificationLimit)
	n.Elector.OnAcquired = n.holdPool
	n.Elector.RequestStatus = n.Peers.requestStatus
	n.Elector.FenceWorkers = n.fenceWorkers
	n.Elector.OnAnnouncement = n.announced
	n.View.OnChange = n.configurationChanged
	n.View.Workspaces = n.Settings.Workspaces
	n.Peers.Handler = n.handlePeerCall
	if err := n.View.register(n.Registry); err != nil {
		return fmt.Errorf("register metrics: %w", err)
	}
	group.Go(func() error { return n.View.Run(groupCtx) })
	group.Go(func() error { return n.followConfigurationOfPeers(groupCtx) })
	group.Go(func() error { return n.Elector.Run(groupCtx) })
	n.registerIntake()
	n.Peers.Limits = n.peerLimits()
	group.Go(func() error { return n.Peers.Serve(groupCtx, n.limitListener(listenerPeer, listeners.peer)) })
	servers := n.serve(group, listeners)
	group.Go(func() error { return n.watchSettings(groupCtx) })
	group.Go(func() error { return n.reportCounts(groupCtx) })
	group.Go(func() error {
		defer stop()
		return n.awaitSignal(groupCtx, signals, servers)
	})
	err = group.Wait()
	n.Log.Info().Err(err).Msg("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

type listeners struct{ entry, readiness, peer net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, e := range []struct {
		addr     netip.AddrPort
		buffers  inlet.Buffers
		listener *net.Listener
	}{{n.Settings.Entry, callerBuffers, &l.entry}, {n.Settings.Readiness, callerBuffers, &l.readiness}, {n.Elector.Self.Peer, peerBuffers, &l.peer}} {
		listener, err := n.listenAt(e.addr, e.buffers)
		if err != nil {
			l.close()
			return l, fmt.Errorf("%w: %w", ErrListen, err)
		}
		*e.listener = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.entry, l.readiness, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// awaitSignal shuts the node down gracefully after a signal to stop: it releases the duties immediately and serves requests until the load
// balancer has removed the node. After SIGHUP it reads the settings file again.
func (n *Node) awaitSignal(ctx context.Context, signals <-chan os.Signal, servers []shutdowner) error {
	for {
		select {
		case <-ctx.Done():
			for _, s := range servers {
				_ = s.Close()
			}
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reloadSettings("signal")
				continue
			}
		}
		break
	}
	began := time.Now()
	n.leaving.Store(true)
	n.Log.Info().Msg("stopping")
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	n.Elector.Leave(leaveCtx)
	cancel()
	grace := max(cmp.Or(n.Settings.Bounds.Grace, 6*time.Second)-killMargin, shutdownDelay)
	interval.Wait(ctx, shutdownDelay-time.Since(began))
	shutdownCtx, cancel := context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(shutdownCtx); err != nil {
			n.Log.Warn().Err(err).Msg("requests aborted at the end of the grace period")
		}
	}
	return nil
}

// settingsInterval is how often the settings file is read again; the platform may change it without a signal.
const settingsInterval = 10 * time.Second

func (n *Node) watchSettings(ctx context.Context) error {
	for range interval.Each(ctx, settingsInterval) {
		n.reloadSettings("file")
	}
	return nil
}

// reloadSettings validates the settings file and logs whether it has changed; the settings of a running process do not change.
func (n *Node) reloadSettings(trigger string) {
	s, err := platform.ReadSettings(n.SettingsPath)
	if err != nil {
		n.Log.Warn().Err(err).Str("trigger", trigger).Msg("changed settings rejected, the previous settings stay in force")
		return
	}
	if s == n.Settings && trigger == "file" {
		return
	}
	n.Log.Info().Str("trigger", trigger).Bool("changed", s != n.Settings).Msg("settings read again")
}

// configurationChanged applies a new configuration to the elector and to the pools that the node holds.
func (n *Node) configurationChanged() {
	c := n.View.Configuration()
	names := make([]string, 0, len(c.Pools))
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	n.Elector.SetDuties(names)
	n.pools.configure(c)
}

func (n *Node) dispatchSettings() dispatch.Settings {
	b := n.Settings.Bounds
	secondRuns := 0.0
	if n.Flags.SecondRuns {
		secondRuns = 1
	}
	return dispatch.Settings{
		LargeTask: n.Flags.LargeTask, SecondRuns: secondRuns,
		Lease: min(n.Flags.WorkerLease, b.MaxLease), MaxLease: b.MaxLease, KeptBytes: n.keptJobBytes(), Takeover: n.Elector.TTL, StopTime: b.Stop, StatusRetention: b.StatusRetention,
	}
}
