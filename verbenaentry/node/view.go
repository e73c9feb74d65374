package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// operatorPrefix is the prefix of the operator's keys.
const operatorPrefix = "op/"

// View is the node's view of the operator's configuration and waves.
type View struct {
	Store *platform.Store
	Log   zerolog.Logger
	Clock *monotonic.Clock
	// Workspaces is set where the configuration names workspaces; otherwise what it says of them is not read.
	Workspaces bool
	// OnChange is called after each new version of the configuration.
	OnChange func()

	currentRoutes atomic.Pointer[routes]
	// confirmedAt is the time up to which all changes of the operator's keys are known, through the store or another node.
	confirmedAt atomic.Pointer[time.Time]
	// configuring is held while a configuration is put in force.
	configuring sync.Mutex
	mu          sync.Mutex
	waves       map[string]workload.Wave
}

func newView(s *platform.Store, log zerolog.Logger, clock *monotonic.Clock) *View {
	return &View{Store: s, Log: log, Clock: clock, waves: map[string]workload.Wave{}}
}

// Run follows the operator's keys until the context ends.
func (v *View) Run(ctx context.Context) error {
	f := follow.Follower{
		Store: v.Store, Prefix: operatorPrefix, Clock: v.Clock.Now, Apply: v.apply, OnStateChange: v.logState,
		OnConfirmed: v.confirm,
	}
	return f.Run(ctx)
}

func (v *View) logState(err error) {
	if err != nil {
		v.Log.Warn().Err(err).Dur("age", v.age()).Msg("store lost for the operator's keys")
		return
	}
	v.Log.Info().Msg("store regained for the operator's keys")
}

// confirm records that all changes up to a time have been applied.
func (v *View) confirm(asOf time.Time) {
	if at := v.confirmedAt.Load(); at == nil || asOf.After(*at) {
		v.confirmedAt.Store(&asOf)
	}
}

// age returns the time since the configuration was known to be the newest one, or 0 before the first one.
func (v *View) age() time.Duration {
	if at := v.confirmedAt.Load(); at != nil {
		return v.Clock.Now().Sub(*at)
	}
	return 0
}

// register adds the version and the age of the view to the metrics.
func (v *View) register(r metrics.Registry) error {
	return errors.Join(
		r.Register("configuration.version", metrics.NewFunctionalGauge(func() int64 {
			if c := v.Configuration(); c != nil {
				return c.Version
			}
			return 0
		})),
		r.Register("configuration.ageMs", metrics.NewFunctionalGauge(func() int64 { return v.age().Milliseconds() })),
	)
}

// apply applies changes of the operator's keys. Of several versions of the configuration only the last one that can be decoded counts.
func (v *View) apply(events []store.Event, _ bool) {
	var configurations [][]byte
	for _, e := range events {
		switch {
		case e.Entry.Key == platform.ConfigurationKey && !e.Deleted:
			configurations = append(configurations, e.Entry.Value)
		case strings.HasPrefix(e.Entry.Key, platform.WavePrefix):
			v.setWave(e)
		}
	}
	for _, value := range slices.Backward(configurations) {
		if v.configure(value) {
			return
		}
	}
}

// configure puts a configuration in force if it is newer than the one in force; it reports whether it could be decoded. It may be called
// concurrently, with values from the store and from other nodes.
func (v *View) configure(value []byte) bool {
	v.configuring.Lock()
	defer v.configuring.Unlock()
	decode := platform.DecodeConfigurationWithoutKeys
	if v.Workspaces {
		decode = platform.DecodeConfiguration
	}
	c, err := decode(value)
	if err != nil {
		v.Log.Error().Err(err).Msg("invalid configuration rejected")
		return false
	}
	old := v.currentRoutes.Load()
	if old != nil && old.Version == c.Version {
		return true
	}
	if old != nil && old.Version > c.Version {
		v.Log.Warn().Int64("version", c.Version).Int64("inForce", old.Version).Msg("older configuration ignored")
		return true
	}
	routes := newRoutes(c)
	routes.source = value
	v.currentRoutes.Store(routes)
	v.Log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Int("pools", len(c.Pools)).Int("workspaces", len(c.Workspaces)).Msg("configuration in force")
	v.OnChange()
	return true
}

func (v *View) setWave(e store.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Deleted {
		delete(v.waves, e.Entry.Key)
		return
	}
	w, err := platform.DecodeWave(e.Entry.Value)
	if err != nil {
		v.Log.Error().Err(err).Str("key", e.Entry.Key).Msg("invalid wave rejected")
		return
	}
	v.waves[e.Entry.Key] = w
	v.Log.Info().Str("wave", w.ID).Int("machines", len(w.Machines)).Int("maxDown", w.MaxDown).Dur("within", w.Within).Msg("wave requested")
}

// Waves returns the operator's waves.
func (v *View) Waves() []workload.Wave {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.waves))
}

// Configuration returns the configuration in force, or nil before the first one.
func (v *View) Configuration() *workload.Configuration {
	if r := v.currentRoutes.Load(); r != nil {
		return r.Configuration
	}
	return nil
}

// routes returns the queues by host and prefix, or nil before the first configuration.
func (v *View) routes() *routes { return v.currentRoutes.Load() }

// routes maps requests to queues.
type routes struct {
	*workload.Configuration
	byHost map[string][]workload.Queue
	keys   keyring
	// source is the configuration as the operator wrote it.
	source []byte
}

func newRoutes(c *workload.Configuration) *routes {
	r := &routes{Configuration: c, byHost: map[string][]workload.Queue{}, keys: newKeyring(c.Workspaces)}
	for _, q := range c.Queues {
		r.byHost[strings.ToLower(q.Host)] = append(r.byHost[strings.ToLower(q.Host)], q)
	}
	return r
}

// find returns the queue with the longest prefix of the path, and the job's id, which follows the prefix.
func (r *routes) find(host, path string) (queue *workload.Queue, id string) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	list := r.byHost[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) && (queue == nil || len(list[i].Prefix) > len(queue.Prefix)) {
			queue = &list[i]
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.Prefix):]
}
