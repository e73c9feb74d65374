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
	// listInterval is the interval at which the platform's instance list is read.
	listInterval = time.Second
	// listStaleAfter is the age at which the platform's instance list becomes stale; the instances that peers report as leaving are then
	// used as well.
	listStaleAfter = 3 * time.Second
	// leavingReportTTL is how long a peer's report of a leaving instance is valid.
	leavingReportTTL = 10 * time.Second
	// storeTimeout is how long the store must have been unreachable, from this process and from every peer that answers, before a
	// process that could not register serves with its peers' records. It is longer than two intervals between lease renewals.
	storeTimeout = 7 * time.Second
)

// view keeps the entry handler's configuration, instance records and peers up to date.
type view struct {
	daemon          *Daemon
	mirrors         *mirrors
	configLog       *configuration.Log
	node            *peer.Node
	log             zerolog.Logger
	sortedInstances atomic.Pointer[[]record.Instance]
	// publishMu serialises the publication of instance records.
	publishMu sync.Mutex

	mu sync.Mutex
	// mayDispatch is set once the process has read the instance records after its registration, or from peers while the store is down.
	mayDispatch bool
	// registered is set while the mirror contains this process's registration.
	registered bool
	// stopping is set once the requests in flight have finished and the process is about to remove its own registration.
	stopping bool
	entry    *entry.Entry
	// lastRenewal returns when the store last confirmed this process's membership.
	lastRenewal func() time.Time
	// passedStoreContact is the time of the last contact with the store that was passed to the entry handler.
	passedStoreContact time.Time
	listVersion        uint64
	platformInstances  map[string]platform.Instance
	listReadAt         time.Time
	// reportedLeaving holds the time at which a peer last reported an instance as leaving, by instance id.
	reportedLeaving map[string]time.Time
	started         time.Time
	current         configurationInForce
	// pullRequested makes run pull the configuration and the instance records from peers.
	pullRequested chan struct{}
}

type configurationInForce struct {
	set      *declaration.Set
	revision uint64
}

func newView(d *Daemon, m *mirrors, c *configuration.Log, n *peer.Node, log zerolog.Logger) *view {
	v := &view{
		daemon: d, mirrors: m, configLog: c, node: n, log: log,
		platformInstances: map[string]platform.Instance{}, reportedLeaving: map[string]time.Time{}, started: time.Now(), pullRequested: make(chan struct{}, 1),
	}
	c.OnChange = v.configurationChanged
	c.Peers = v.peerPulls
	m.instances.OnChange = v.publishInstances
	m.members.OnChange = v.membersChanged
	return v
}

// Current returns the configuration for the entry handler, or false while this process may not dispatch.
func (v *view) Current() (*declaration.Set, uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current.set, v.current.revision, v.mayDispatch && v.current.set != nil
}

// configuration returns the configuration in force and its revision.
func (v *view) configuration() (declaration.Set, uint64) {
	set, revision, _ := v.configLog.Current()
	return set, revision
}

// instances returns the instance records ordered by id. The slice is shared until the next change and must not be modified.
func (v *view) instances() []record.Instance {
	if list := v.sortedInstances.Load(); list != nil {
		return *list
	}
	return nil
}

func (v *view) configurationChanged(s configuration.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = configurationInForce{set: &s.Set, revision: s.Revision}
}

func (v *view) peerPulls() []configuration.Pull {
	var pulls []configuration.Pull
	for _, p := range v.node.Peers() {
		pulls = append(pulls, func(ctx context.Context, after uint64) (configuration.State, error) {
			return v.node.Pull(ctx, p.Addr, after)
		})
	}
	return pulls
}

// joined is called after the registration and reads the instance records again. Drains that begin later require this process's
// confirmation; those that began earlier may not, but the records read now include them.
func (v *view) joined(ctx context.Context) error {
	if err := v.mirrors.instances.Refresh(ctx); err != nil {
		return fmt.Errorf("read instance records after the registration: %w", err)
	}
	v.startDispatching("registered")
	return nil
}

func (v *view) startDispatching(reason string) {
	v.mu.Lock()
	wasDispatching := v.mayDispatch
	v.mayDispatch = true
	v.mu.Unlock()
	if !wasDispatching {
		v.log.Info().Str("because", reason).Msg("dispatching requests")
	}
	v.publishInstances()
}

// membersChanged passes the peers to the entry handler. It stops dispatching when this process's registration was removed, because
// drains then no longer require this process's confirmation.
func (v *view) membersChanged() {
	var peers []string
	members := record.MembersOf(v.mirrors.members.All())
	_, registered := members.Registered[v.daemon.Settings.ID]
	for id := range members.Live {
		if id != v.daemon.Settings.ID {
			peers = append(peers, id)
		}
	}
	v.mu.Lock()
	e := v.entry
	if !registered && v.registered && !v.stopping {
		v.mayDispatch = false
		v.log.Warn().Msg("registration was removed; not dispatching requests until it is written again")
	}
	v.registered = registered
	v.mu.Unlock()
	if e != nil {
		slices.Sort(peers)
		e.SetPeers(peers)
		e.RecordContact()
	}
}

// markStopping makes membersChanged ignore the removal of the registration, because this process is about to remove it itself.
func (v *view) markStopping() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopping = true
}

// publishInstances passes the instance records to the entry handler once this process may dispatch.
func (v *view) publishInstances() {
	// Without the lock, a concurrent call could overwrite newer records with older ones.
	v.publishMu.Lock()
	defer v.publishMu.Unlock()
	var instances []record.Instance
	for _, i := range v.mirrors.instances.All() {
		instances = append(instances, i)
	}
	slices.SortFunc(instances, func(a, b record.Instance) int { return strings.Compare(a.ID, b.ID) })
	v.sortedInstances.Store(&instances)
	v.mu.Lock()
	mayDispatch, e := v.mayDispatch, v.entry
	v.mu.Unlock()
	if !mayDispatch || e == nil {
		return
	}
	e.SetInstances(instances)
}

// run periodically reads the platform's instance list and falls back to peers while the store does not answer.
func (v *view) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if err := v.readList(ctx); err != nil && ctx.Err() == nil {
			v.log.Debug().Err(err).Msg("could not read the platform's instance list")
		}
		v.recordStoreContact()
		v.startFromPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-v.pullRequested:
			v.configLog.PullFromPeers(ctx)
			if err := v.refreshFromPeers(ctx); err != nil {
				v.log.Debug().Err(err).Msg("could not read instance records from a peer")
			}
		}
	}
}

func (v *view) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listStaleAfter)
	defer cancel()
	v.mu.Lock()
	version := v.listVersion
	v.mu.Unlock()
	listing, err := v.daemon.Platform.List(ctx, version)
	if err != nil {
		v.publishLeaving(time.Now())
		return fmt.Errorf("list instances: %w", err)
	}
	v.mu.Lock()
	for _, i := range listing.Instances {
		v.platformInstances[i.ID] = i
	}
	v.listVersion, v.listReadAt = listing.Version, time.Now()
	v.mu.Unlock()
	v.publishLeaving(time.Now())
	return nil
}

// leaving returns the ids of the instances that the platform lists as leaving or gone.
func (v *view) leaving() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, i := range v.platformInstances {
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
	i, ok := v.platformInstances[id]
	return ok && i.Status == platform.Gone
}

// recordLeaving records the instances that a peer reports as leaving; they are used only while the platform's list is stale.
func (v *view) recordLeaving(ids []string, now time.Time) {
	v.mu.Lock()
	for _, id := range ids {
		v.reportedLeaving[id] = now
	}
	stale := now.Sub(v.listReadAt) > listStaleAfter
	v.mu.Unlock()
	if stale && len(ids) > 0 {
		v.publishLeaving(now)
	}
}

// requestPullIfBehind requests a pull from the peers if a heartbeat shows newer data while the store does not answer.
func (v *view) requestPullIfBehind(h peer.Heartbeat) {
	if v.sinceStoreContact() < storeTimeout {
		return
	}
	_, revision, _ := v.configLog.Current()
	if h.ConfigRevision <= revision && h.InstanceRevision <= v.mirrors.instances.MergedRevision() {
		return
	}
	select {
	case v.pullRequested <- struct{}{}:
	default:
	}
}

func (v *view) publishLeaving(now time.Time) {
	ids := v.leaving()
	v.mu.Lock()
	e := v.entry
	for id, at := range v.reportedLeaving {
		if now.Sub(at) > leavingReportTTL {
			delete(v.reportedLeaving, id)
			continue
		}
		if now.Sub(v.listReadAt) > listStaleAfter {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	if e != nil {
		e.SetLeaving(ids)
	}
}

// recordStoreContact passes contact with the store to the entry handler, which otherwise considers its view outdated.
func (v *view) recordStoreContact() {
	latest := v.lastStoreContact()
	if latest.After(v.passedStoreContact) {
		v.passedStoreContact = latest
		v.entry.RecordContact()
	}
}

// lastStoreContact returns when the store last answered a watch or a renewal.
func (v *view) lastStoreContact() time.Time {
	latest := v.lastRenewal()
	for _, t := range []time.Time{v.mirrors.members.LastContact(), v.mirrors.duties.LastContact(), v.mirrors.instances.LastContact()} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

func (v *view) sinceStoreContact() time.Duration { return time.Since(v.lastStoreContact()) }

// startFromPeers lets a process that started during a store outage serve with its peers' records. It asks every peer: if one of them
// had recent contact with the store, only this process is disconnected, and it must not serve without a registration.
func (v *view) startFromPeers(ctx context.Context) {
	v.mu.Lock()
	mayDispatch, set := v.mayDispatch, v.current.set
	v.mu.Unlock()
	if mayDispatch || set == nil || time.Since(v.started) < storeTimeout || v.sinceStoreContact() < storeTimeout {
		return
	}
	answered := 0
	for _, p := range v.node.Peers() {
		records, err := v.node.Instances(ctx, p.Addr, v.mirrors.instances.MergedRevision())
		if err != nil {
			continue
		}
		if records.SinceStoreContact < storeTimeout {
			return
		}
		v.mirrors.instances.MergePeerRecords(records.Entries, records.Revision)
		answered++
	}
	if answered > 0 {
		v.startDispatching("the store is down and a peer answered")
	}
}

// refresh reads the instance records, the platform's instance list and the configuration again after the process was paused.
func (v *view) refresh(ctx context.Context) error {
	err := v.mirrors.instances.Refresh(ctx)
	if err != nil {
		err = v.refreshFromPeers(ctx)
	}
	listErr := v.readList(ctx)
	if catchUpErr := v.configLog.CatchUp(ctx); catchUpErr != nil {
		v.configLog.PullFromPeers(ctx)
	}
	v.publishInstances()
	if err != nil {
		return errors.Join(err, listErr)
	}
	return nil
}

func (v *view) refreshFromPeers(ctx context.Context) error {
	for _, p := range v.node.Peers() {
		records, err := v.node.Instances(ctx, p.Addr, v.mirrors.instances.MergedRevision())
		if err == nil {
			v.mirrors.instances.MergePeerRecords(records.Entries, records.Revision)
			return nil
		}
	}
	return errors.New("read instance records: neither the store nor a peer answered")
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
