package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// listStale is the age of the own list from which leaving instances that peers report are believed.
	listStale = 3 * time.Second
	// reportTTL is how long a peer's report of a leaving instance counts.
	reportTTL = 10 * time.Second
	// storeQuiet is how long the store must have been silent, here and at every peer that answered, before a process
	// that could not register serves by its peers' view. It is longer than two renewals of a lease.
	storeQuiet = 7 * time.Second
)

// view keeps what the entry handler knows of the fleet up to date.
type view struct {
	daemon  *Daemon
	mirrors *mirrors
	changes *configuration.Log
	node    *peer.Node
	log     zerolog.Logger
	list    atomic.Pointer[[]record.Instance]
	// publishing orders the publications of instance records.
	publishing sync.Mutex

	mu sync.Mutex
	// admitted is set once the process is registered and has read the instance records after that.
	admitted bool
	// registered is set while the mirror shows this process's registration.
	registered bool
	// stopping is set once the requests in flight are done and the process removes its registration itself.
	stopping bool
	entry    *entry.Entry
	// renewed returns when the store last confirmed the membership.
	renewed  func() time.Time
	heard    time.Time
	version  uint64
	listed   map[string]platform.Instance
	listedAt time.Time
	reports  map[string]time.Time
	started  time.Time
	current  configured
	// behind asks run to pull from the peers.
	behind chan struct{}
}

type configured struct {
	set      *declaration.Set
	revision uint64
}

func newView(d *Daemon, m *mirrors, c *configuration.Log, n *peer.Node, log zerolog.Logger) *view {
	v := &view{
		daemon: d, mirrors: m, changes: c, node: n, log: log,
		listed: map[string]platform.Instance{}, reports: map[string]time.Time{}, started: time.Now(), behind: make(chan struct{}, 1),
	}
	c.OnChange = v.configured
	c.Peers = v.pulls
	m.instances.OnChange = v.publish
	m.members.OnChange = v.membersChanged
	return v
}

// Current returns the configuration for the entry handler; it is false until this process may dispatch.
func (v *view) Current() (*declaration.Set, uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current.set, v.current.revision, v.admitted && v.current.set != nil
}

// configuration returns the configuration in force and its revision.
func (v *view) configuration() (declaration.Set, uint64) {
	set, revision, _ := v.changes.Current()
	return set, revision
}

// instances returns the instance records in id order; the list is made once for each change and must not be changed.
func (v *view) instances() []record.Instance {
	if list := v.list.Load(); list != nil {
		return *list
	}
	return nil
}

func (v *view) configured(s configuration.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = configured{set: &s.Set, revision: s.Revision}
}

func (v *view) pulls() []configuration.Pull {
	var pulls []configuration.Pull
	for _, p := range v.node.Peers() {
		pulls = append(pulls, func(ctx context.Context, after uint64) (configuration.State, error) {
			return v.node.Pull(ctx, p.Addr, after)
		})
	}
	return pulls
}

// joined is called after the registration: the records read from now on include every drain that does not wait for
// this process.
func (v *view) joined(ctx context.Context) error {
	if err := v.mirrors.instances.Refresh(ctx); err != nil {
		return fmt.Errorf("read instance records after the registration: %w", err)
	}
	v.admit("registered")
	return nil
}

func (v *view) admit(why string) {
	v.mu.Lock()
	already := v.admitted
	v.admitted = true
	v.mu.Unlock()
	if !already {
		v.log.Info().Str("because", why).Msg("requests are dispatched")
	}
	v.publish()
}

// membersChanged passes the peers on and stops dispatching when this process's registration was removed, since planned
// stops do not wait for it any more.
func (v *view) membersChanged() {
	var peers []string
	members := record.MembersOf(v.mirrors.members.All())
	_, found := members.Registered[v.daemon.Settings.ID]
	for id := range members.Live {
		if id != v.daemon.Settings.ID {
			peers = append(peers, id)
		}
	}
	v.mu.Lock()
	e := v.entry
	if !found && v.registered && !v.stopping {
		v.admitted = false
		v.log.Warn().Msg("registration was removed, nothing is dispatched until it is written again")
	}
	v.registered = found
	v.mu.Unlock()
	if e != nil {
		slices.Sort(peers)
		e.SetPeers(peers)
		e.RecordContact()
	}
}

// stop expects the removal of the registration.
func (v *view) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopping = true
}

// publish passes the instance records on once this process may dispatch.
func (v *view) publish() {
	// Two goroutines that publish at once must not leave the older records in place.
	v.publishing.Lock()
	defer v.publishing.Unlock()
	var instances []record.Instance
	for _, i := range v.mirrors.instances.All() {
		instances = append(instances, i)
	}
	slices.SortFunc(instances, func(a, b record.Instance) int { return strings.Compare(a.ID, b.ID) })
	v.list.Store(&instances)
	v.mu.Lock()
	admitted, e := v.admitted, v.entry
	v.mu.Unlock()
	if !admitted || e == nil {
		return
	}
	e.SetInstances(instances)
}

// run reads the platform's list and watches over the sources of the view.
func (v *view) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if err := v.readList(ctx); err != nil && ctx.Err() == nil {
			v.log.Debug().Err(err).Msg("platform's list was not read")
		}
		v.hearStore()
		v.startFromPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-v.behind:
			v.changes.PullFromPeers(ctx)
			if err := v.refreshFromPeers(ctx); err != nil {
				v.log.Debug().Err(err).Msg("instance records were not read from a peer")
			}
		}
	}
}

func (v *view) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listStale)
	defer cancel()
	v.mu.Lock()
	version := v.version
	v.mu.Unlock()
	listing, err := v.daemon.Platform.List(ctx, version)
	if err != nil {
		v.publishLeaving(time.Now())
		return fmt.Errorf("list instances: %w", err)
	}
	v.mu.Lock()
	for _, i := range listing.Instances {
		v.listed[i.ID] = i
	}
	v.version, v.listedAt = listing.Version, time.Now()
	v.mu.Unlock()
	v.publishLeaving(time.Now())
	return nil
}

// leaving returns the instances that the list shows as leaving.
func (v *view) leaving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, i := range v.listed {
		if i.Status != platform.Live {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// gone reports whether the platform lists an instance as gone.
func (v *view) gone(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.listed[id]
	return ok && i.Status == platform.Gone
}

// report notes the leaving instances that a peer knows of; they matter only while the own list cannot be read.
func (v *view) report(ids []string, now time.Time) {
	v.mu.Lock()
	for _, id := range ids {
		v.reports[id] = now
	}
	stale := now.Sub(v.listedAt) > listStale
	v.mu.Unlock()
	if stale && len(ids) > 0 {
		v.publishLeaving(now)
	}
}

// compare pulls from the peers when one of them is ahead, which matters while the store does not answer.
func (v *view) compare(h peer.Heartbeat) {
	if v.storeHeard() < storeQuiet {
		return
	}
	_, revision, _ := v.changes.Current()
	if h.ConfigRevision <= revision && h.InstanceRevision <= v.mirrors.instances.KnownRevision() {
		return
	}
	select {
	case v.behind <- struct{}{}:
	default:
	}
}

func (v *view) publishLeaving(now time.Time) {
	ids := v.leaving()
	v.mu.Lock()
	e := v.entry
	for id, at := range v.reports {
		if now.Sub(at) > reportTTL {
			delete(v.reports, id)
			continue
		}
		if now.Sub(v.listedAt) > listStale {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	if e != nil {
		e.SetLeaving(ids)
	}
}

// hearStore counts recent answers of the store as a sign that the view is not cut off.
func (v *view) hearStore() {
	latest := v.lastHeard()
	if latest.After(v.heard) {
		v.heard = latest
		v.entry.RecordContact()
	}
}

// lastHeard returns when the store last answered a watch or a renewal.
func (v *view) lastHeard() time.Time {
	latest := v.renewed()
	for _, t := range []time.Time{v.mirrors.members.LastContact(), v.mirrors.duties.LastContact(), v.mirrors.instances.LastContact()} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

func (v *view) storeHeard() time.Duration { return time.Since(v.lastHeard()) }

// startFromPeers lets a process that started in a store outage serve by its peers' records. It asks every peer: one
// that has heard the store lately shows that this process alone is cut off, and then it must not serve unregistered.
func (v *view) startFromPeers(ctx context.Context) {
	v.mu.Lock()
	admitted, set := v.admitted, v.current.set
	v.mu.Unlock()
	if admitted || set == nil || time.Since(v.started) < storeQuiet || v.storeHeard() < storeQuiet {
		return
	}
	answered := 0
	for _, p := range v.node.Peers() {
		records, err := v.node.Instances(ctx, p.Addr, v.mirrors.instances.KnownRevision())
		if err != nil {
			continue
		}
		if records.SinceStoreContact < storeQuiet {
			return
		}
		v.mirrors.instances.Adopt(records.Entries, records.Revision)
		answered++
	}
	if answered > 0 {
		v.admit("the store is down and peers answered")
	}
}

// refresh brings everything up to date after a pause of the process.
func (v *view) refresh(ctx context.Context) error {
	err := v.mirrors.instances.Refresh(ctx)
	if err != nil {
		err = v.refreshFromPeers(ctx)
	}
	listErr := v.readList(ctx)
	if catchUpErr := v.changes.CatchUp(ctx); catchUpErr != nil {
		v.changes.PullFromPeers(ctx)
	}
	v.publish()
	if err != nil {
		return errors.Join(err, listErr)
	}
	return nil
}

func (v *view) refreshFromPeers(ctx context.Context) error {
	for _, p := range v.node.Peers() {
		records, err := v.node.Instances(ctx, p.Addr, v.mirrors.instances.KnownRevision())
		if err == nil {
			v.mirrors.instances.Adopt(records.Entries, records.Revision)
			return nil
		}
	}
	return errors.New("neither the store nor a peer answered")
}

// alone reports whether this is the only registered entry instance.
func (v *view) alone() bool {
	for id := range record.MembersOf(v.mirrors.members.All()).Registered {
		if id != v.daemon.Settings.ID {
			return false
		}
	}
	return v.mirrors.members.Loaded()
}
