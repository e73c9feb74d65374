package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
)

const (
	// MaxDeadline is the maximum deadline that a service may declare or a request may set.
	MaxDeadline = 60 * time.Second
	// shutDownMargin is how much longer than MaxDeadline a process that shuts down waits for its requests in flight.
	shutDownMargin = 5 * time.Second
	// reportQueue bounds the number of claim outcomes that wait to be reported to the shard holders.
	reportQueue = 4096
)

// Configuration provides the operators' configuration.
type Configuration interface {
	// Current returns the set in force with its revision, and false before the first set has been read. The set must not
	// be changed afterwards.
	Current() (*declaration.Set, uint64, bool)
}

// Claims sends claims to the holder of their shard, in this process or at a peer.
type Claims interface {
	// Claim returns an error when no response arrived; the same request may then be sent again.
	Claim(ctx context.Context, r claim.Request) (claim.Answer, error)
	// Finish reports the outcome of a claimed request.
	Finish(ctx context.Context, f claim.Finish) error
}

// Acceptor records deferred work; deferred.Acceptor implements it.
type Acceptor interface {
	Accept(ctx context.Context, w deferred.Work) error
}

// PoolDemand is the demand of one pool for the heartbeat between entry instances.
type PoolDemand struct {
	Pool     string                    `json:"pool"`
	Services []admission.ServiceDemand `json:"services"`
}

// Entry serves callers; set the exported fields before Run.
type Entry struct {
	// ID is this entry instance's id.
	ID string
	// DataCentre is the data centre of this entry instance.
	DataCentre    string
	Configuration Configuration
	Claims        Claims
	Deferred      Acceptor
	// Store serves status reads of deferred work.
	Store store.Store
	// Refresh reads the configuration, the instance records and the platform's list again after a pause of the process. It
	// returns after SetInstances and SetLeaving were called with the results.
	Refresh func(ctx context.Context) error
	// Alone reports whether this is the only registered entry instance.
	Alone func() bool
	// Caller identifies the caller of a request for the rate limits; the remote address is used when nil.
	Caller func(r *http.Request) string
	// Observed is called after each request to a known service, from the request's goroutine; nil for none.
	Observed func(o Observation)
	// DemandChanged is called when Demand has changed and must be sent to the peers; nil for none.
	DemandChanged func()
	// Routes adds further routes to the callers' API; nil for none.
	Routes func(r chi.Router)
	// Listener accepts callers' connections; without one, only Handler serves.
	Listener net.Listener
	// Now returns the current time with a monotonic reading; time.Now when nil.
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics metrics.Registry
	// ViewTimeout is how long requests are dispatched after the last contact with the store or a peer; 10 s when 0.
	ViewTimeout time.Duration
	// PauseLimit is the duration of a pause of the process after which the view is refreshed before the next dispatch; 2 s
	// when 0.
	PauseLimit time.Duration
	// LeaveDelay is how long a process that shuts down continues to serve after it became not ready; 1 s when 0.
	LeaveDelay time.Duration
	// BodyTimeout is the maximum time to receive a request body; 10 s when 0.
	BodyTimeout time.Duration
	// WriteTimeout is the maximum time to send a response; 10 s when 0.
	WriteTimeout time.Duration
	// MaxPoolRequests bounds the requests of one pool that are queued or in flight at this entry instance; 8,192 when 0.
	MaxPoolRequests int64
	// ConnState is called with each change of a caller's connection, as by http.Server; nil for none.
	ConnState func(net.Conn, http.ConnState)
	// MaxBuffered bounds the bytes of request bodies in memory; 256 MB when 0.
	MaxBuffered int64

	once         sync.Once
	guard        guard
	view         atomic.Pointer[view]
	viewLock     sync.Mutex
	poolLoops    sync.Map
	poolLoopLock sync.Mutex
	targets      sync.Map
	reports      *ring.Ring[claim.Finish]
	group        *errgroup.Group
	runCtx       context.Context
	phase        atomic.Int32
	requests     atomic.Int64
	buffered     atomic.Int64
	counters     sync.Map
}

// Default fills unset fields.
func (e *Entry) Default() {
	e.once.Do(func() {
		if e.Now == nil {
			e.Now = time.Now
		}
		if e.Metrics == nil {
			e.Metrics = metrics.NewRegistry()
		}
		e.ViewTimeout = cmp.Or(e.ViewTimeout, 10*time.Second)
		e.PauseLimit = cmp.Or(e.PauseLimit, 2*time.Second)
		e.LeaveDelay = cmp.Or(e.LeaveDelay, time.Second)
		e.BodyTimeout = cmp.Or(e.BodyTimeout, 10*time.Second)
		e.WriteTimeout = cmp.Or(e.WriteTimeout, 10*time.Second)
		e.MaxPoolRequests = cmp.Or(e.MaxPoolRequests, 8192)
		e.MaxBuffered = cmp.Or(e.MaxBuffered, 256<<20)
		e.reports = ring.New[claim.Finish](reportQueue)
		e.guard.start(e.Now())
		e.view.Store(&view{})
	})
}

// Phases of the process from serving to shutdown.
const (
	serving int32 = iota
	notReady
	refusing
)

// Run serves until ctx ends; it then becomes not ready, refuses new requests and waits for those in flight.
func (e *Entry) Run(ctx context.Context) error {
	e.Default()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	server := e.server()
	g.Go(func() error { return e.watchPauses(runCtx) })
	g.Go(func() error { return e.reportOutcomes(runCtx) })
	if e.Listener != nil {
		g.Go(func() error {
			if err := server.Serve(e.Listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve callers at %s: %w", e.Listener.Addr(), err)
			}
			return nil
		})
	}
	g.Go(func() error {
		select {
		case <-runCtx.Done():
			_ = server.Close()
			return runCtx.Err()
		case <-ctx.Done():
		}
		err := e.shutDown(runCtx, server)
		e.setGroup(runCtx, nil)
		stop()
		return err
	})
	// Pool loops may be added from here on, since the goroutines above keep the group running.
	e.setGroup(runCtx, g)
	if err := g.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (e *Entry) setGroup(runCtx context.Context, g *errgroup.Group) {
	e.poolLoopLock.Lock()
	defer e.poolLoopLock.Unlock()
	e.group, e.runCtx = g, runCtx
}

// shutDown stops serving after all requests in flight have ended.
func (e *Entry) shutDown(ctx context.Context, server *http.Server) error {
	e.phase.Store(notReady)
	interval.Wait(ctx, e.LeaveDelay)
	e.phase.Store(refusing)
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(ctx, MaxDeadline+shutDownMargin)
	defer cancel()
	// The listener stays open while requests are in flight, so that requests on new connections are refused with a
	// response; a closed listener would reset the connections.
	for e.requests.Load() > 0 && ctx.Err() == nil {
		interval.Wait(ctx, 10*time.Millisecond)
	}
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	for e.reports.Len() > 0 && ctx.Err() == nil {
		interval.Wait(ctx, 10*time.Millisecond)
	}
	return nil
}

// reportOutcomes sends the outcomes of claims to the shard holders. A lost report leaves the outcome unknown there.
func (e *Entry) reportOutcomes(ctx context.Context) error {
	const tries = 3
	for {
		f, err := e.reports.Take(ctx)
		if err != nil {
			return err
		}
		for n := range tries {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			err = e.Claims.Finish(callCtx, f)
			cancel()
			if err == nil {
				break
			}
			interval.Wait(ctx, time.Duration(50<<n)*time.Millisecond)
		}
		if err != nil {
			e.count("claimReportLost")
			e.Log.Warn().Err(err).Str("service", f.Service).Str("outcome", string(f.Outcome)).Msg("claim outcome not reported to the shard holder")
		}
	}
}

// poolLoop returns the loop of a pool and starts it if needed; nil before Run.
func (e *Entry) poolLoop(pool string) *poolLoop {
	if l, found := e.poolLoops.Load(pool); found {
		return l.(*poolLoop)
	}
	e.poolLoopLock.Lock()
	defer e.poolLoopLock.Unlock()
	if l, found := e.poolLoops.Load(pool); found {
		return l.(*poolLoop)
	}
	if e.group == nil {
		return nil
	}
	l := newPoolLoop(e, pool)
	e.poolLoops.Store(pool, l)
	runCtx := e.runCtx
	e.group.Go(func() error { return l.run(runCtx) })
	return l
}

// Demand returns the demand of the pools for which this entry instance has received requests.
func (e *Entry) Demand() []PoolDemand {
	var demands []PoolDemand
	e.poolLoops.Range(func(pool, l any) bool {
		if d := l.(*poolLoop).demand.Load(); d != nil && len(*d) > 0 {
			demands = append(demands, PoolDemand{Pool: pool.(string), Services: *d})
		}
		return true
	})
	return demands
}

// PeerDemand passes the demand that a peer's heartbeat reported to the pools' loops.
func (e *Entry) PeerDemand(peer string, demands []PoolDemand) {
	e.Default()
	reported := map[string]bool{}
	for _, d := range demands {
		reported[d.Pool] = true
		if l := e.poolLoop(d.Pool); l != nil {
			// A heartbeat is dropped if the queue is full; the next one follows within seconds.
			_ = l.heartbeats.Offer(peerDemand{peer: peer, services: d.Services})
		}
	}
	e.poolLoops.Range(func(pool, l any) bool {
		if !reported[pool.(string)] {
			_ = l.(*poolLoop).heartbeats.Offer(peerDemand{peer: peer})
		}
		return true
	})
}

// RecordContact records contact with the store or a peer.
func (e *Entry) RecordContact() {
	e.Default()
	e.guard.recordContact(e.Now())
}

// Ready reports whether callers' requests are served.
func (e *Entry) Ready() bool {
	e.Default()
	_, _, configured := e.Configuration.Current()
	return configured && e.phase.Load() == serving && e.blocked() == ""
}

func (e *Entry) count(name string) {
	c, found := e.counters.Load(name)
	if !found {
		c, _ = e.counters.LoadOrStore(name, metrics.GetOrRegisterCounter("entry."+name, e.Metrics))
	}
	c.(metrics.Counter).Inc(1)
}

// view is an immutable snapshot of the instances and peers; it is replaced as a whole.
type view struct {
	generation uint64
	instances  map[string][]record.Instance
	leaving    map[string]bool
	peers      []string
}
