package duty

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// DefaultTTL is the time after which a lease that is not renewed expires.
	DefaultTTL = 10 * time.Second
	// DefaultInterval is the time between two renewals.
	DefaultInterval = 3 * time.Second
	// rankDelay is how long a candidate waits for each candidate that ranks before it, so that they rarely compete.
	rankDelay = time.Second
	// settleTime is how long a member must have been live before duties are handed over to it, so that a process in a restart loop does
	// not move duties around.
	settleTime = 15 * time.Second
	// callTimeout bounds each call to the store.
	callTimeout = 3 * time.Second
)

// Term is the period during which one holder has a duty, identified by its epoch.
type Term struct {
	Name  string
	Epoch record.Epoch
}

// Manager maintains the membership of this process and holds its share of the duties.
type Manager struct {
	Store store.Store
	Self  record.Entry
	// Names returns the names of all duties.
	Names func() []string
	// Work performs a duty until its context ends. If it returns before that, other than with record.ErrFenced, it is called again.
	Work func(ctx context.Context, t Term) error
	// Members mirrors the entry instances, Duties the holders; the caller runs both.
	Members *mirror.Mirror[record.Entry]
	Duties  *mirror.Mirror[record.Duty]
	// TTL and Interval default to DefaultTTL and DefaultInterval.
	TTL      time.Duration
	Interval time.Duration
	// OnJoined, if set, is called after each registration in the store. If it fails, the registration is repeated.
	OnJoined func(ctx context.Context) error
	Log      zerolog.Logger

	mu      sync.Mutex
	lease   store.LeaseID
	renewed time.Time
	running map[string]*runningTerm
	// vacantSince is when each vacant duty was first observed without a live holder.
	vacantSince map[string]time.Time
	// liveSince is when each live member was first observed.
	liveSince map[string]time.Time
	// handedOver is when this process last handed a duty over.
	handedOver   time.Time
	storeFailing bool
	group        *errgroup.Group
}

type runningTerm struct {
	Term
	stop context.CancelFunc
	done chan struct{}
}

// Run renews the membership and campaigns for duties until the context ends; then it releases both.
func (m *Manager) Run(ctx context.Context) error {
	m.setDefaults()
	ticker := time.NewTicker(m.Interval)
	defer ticker.Stop()
	// Duties are checked more often than the lease is renewed; the checks read the mirrors and cost no calls to the store.
	campaign := time.NewTicker(m.Interval / 6)
	defer campaign.Stop()
	m.renew(ctx)
	for {
		select {
		case <-ctx.Done():
			return m.leave(context.WithoutCancel(ctx))
		case <-ticker.C:
			m.renew(ctx)
		case now := <-campaign.C:
			m.campaign(ctx, now)
		}
	}
}

func (m *Manager) setDefaults() {
	if m.TTL == 0 {
		m.TTL = DefaultTTL
	}
	if m.Interval == 0 {
		m.Interval = DefaultInterval
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running = map[string]*runningTerm{}
	m.vacantSince = map[string]time.Time{}
	m.liveSince = map[string]time.Time{}
	m.group = &errgroup.Group{}
}

// Held returns the current terms of this process, sorted by name.
func (m *Manager) Held() []Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	var terms []Term
	for _, t := range m.running {
		terms = append(terms, t.Term)
	}
	slices.SortFunc(terms, func(a, b Term) int { return cmp.Compare(a.Name, b.Name) })
	return terms
}

// Registered reports whether the store confirmed the membership of this process within the last TTL.
func (m *Manager) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease != 0 && time.Since(m.renewed) < m.TTL
}

// Renewed returns when the last successful call that granted or renewed the lease of this process was sent.
func (m *Manager) Renewed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewed
}

// campaign takes over duties without a live holder, hands over those for which another member is preferred, and stops those that were
// lost or removed.
func (m *Manager) campaign(ctx context.Context, now time.Time) {
	if !m.Members.Loaded() || !m.Duties.Loaded() || !m.Registered() {
		return
	}
	members := m.members(now)
	names := m.Names()
	m.stopRemoved(names)
	holders := m.Duties.All()
	for _, name := range names {
		holder, exists := holders[name]
		switch {
		case exists && holder.Holder == m.Self.ID:
			m.reconcileHeld(ctx, name, holder, members, now)
		case exists && slices.Contains(members, holder.Holder):
			m.stopIfLost(name, holder.Epoch)
			delete(m.vacantSince, name)
		default:
			m.stopIfLost(name, holder.Epoch)
			m.takeOver(ctx, name, holder, members, now)
		}
	}
}

// members returns the names of the live entry instances and records in liveSince when each was first observed.
func (m *Manager) members(now time.Time) []string {
	live := record.MembersOf(m.Members.All()).Live
	var names []string
	for name := range live {
		names = append(names, name)
		if _, ok := m.liveSince[name]; !ok {
			m.liveSince[name] = now
		}
	}
	for name := range m.liveSince {
		if _, ok := live[name]; !ok {
			delete(m.liveSince, name)
		}
	}
	slices.Sort(names)
	return names
}

// reconcileHeld reconciles a duty that this process holds according to the store, or hands it over to the preferred member.
func (m *Manager) reconcileHeld(ctx context.Context, name string, d record.Duty, members []string, now time.Time) {
	m.mu.Lock()
	t, ok := m.running[name]
	m.mu.Unlock()
	if !ok {
		// A restarted process with the same id must not continue the epoch of its previous incarnation.
		m.takeOver(ctx, name, d, []string{m.Self.ID}, now)
		return
	}
	if d.Epoch > t.Epoch {
		// The store accepted a later epoch of this process, but the answer was lost.
		m.stop(name)
		m.takeOver(ctx, name, d, []string{m.Self.ID}, now)
		return
	}
	if d.Epoch < t.Epoch {
		return
	}
	preferred := Order(name, members)[0]
	settled := now.Sub(m.liveSince[preferred]) > settleTime
	if preferred == m.Self.ID || !settled || now.Sub(m.handedOver) < m.Interval {
		return
	}
	m.handedOver = now
	m.stop(name)
	m.write(ctx, record.Duty{Name: name, Epoch: d.Epoch})
}

// takeOver takes over a duty with the next epoch, after rankDelay for each candidate that ranks before this process.
func (m *Manager) takeOver(ctx context.Context, name string, d record.Duty, members []string, now time.Time) {
	since, ok := m.vacantSince[name]
	if !ok {
		since = now
		m.vacantSince[name] = now
	}
	rank := slices.Index(Order(name, members), m.Self.ID)
	if rank < 0 || now.Sub(since) < time.Duration(rank)*rankDelay {
		return
	}
	next := record.Duty{Name: name, Holder: m.Self.ID, Epoch: d.Epoch + 1}
	if m.write(ctx, next) {
		delete(m.vacantSince, name)
		m.start(ctx, Term{Name: name, Epoch: next.Epoch})
	}
}

// write stores the record of a duty if the stored record is still the one in the mirror, and reports whether it succeeded. If the answer is
// lost, the process may hold the duty without a running term; once the mirror shows that it does, it takes the duty over from itself with
// the next epoch.
func (m *Manager) write(ctx context.Context, d record.Duty) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, expect, _ := m.Duties.Get(d.Name)
	_, err := record.Save(ctx, m.Store, record.DutyPrefix+d.Name, d, expect, 0)
	if err != nil {
		m.Log.Debug().Err(err).Str("duty", d.Name).Msg("duty record not written")
	}
	return err == nil
}

// start runs the work of a duty in a goroutine.
func (m *Manager) start(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	started := &runningTerm{Term: t, stop: cancel, done: make(chan struct{})}
	m.mu.Lock()
	m.running[t.Name] = started
	m.mu.Unlock()
	m.Log.Info().Str("duty", t.Name).Uint64("epoch", uint64(t.Epoch)).Msg("duty taken over")
	m.group.Go(func() error {
		defer close(started.done)
		m.work(ctx, t)
		return nil
	})
}

// work calls Work until the duty is stopped or fenced.
func (m *Manager) work(ctx context.Context, t Term) {
	for ctx.Err() == nil {
		err := m.Work(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, record.ErrFenced) {
			m.Log.Warn().Str("duty", t.Name).Msg("duty was taken over by another process")
			return
		}
		m.Log.Error().Err(err).Str("duty", t.Name).Msg("duty ended unexpectedly; starting it again")
		mirror.WaitJittered(ctx, m.Interval)
	}
}

// stopIfLost stops a duty that another process holds with a newer epoch, or that was released.
func (m *Manager) stopIfLost(name string, epoch record.Epoch) {
	m.mu.Lock()
	t, ok := m.running[name]
	m.mu.Unlock()
	// The mirror may lag behind the takeover by this process.
	if ok && epoch >= t.Epoch {
		m.stop(name)
	}
}

// stopRemoved stops the duties that no longer exist.
func (m *Manager) stopRemoved(names []string) {
	for _, t := range m.Held() {
		if !slices.Contains(names, t.Name) {
			m.stop(t.Name)
		}
	}
}

func (m *Manager) stopAll() {
	for _, t := range m.Held() {
		m.stop(t.Name)
	}
}

// stop stops a duty and waits until its work has returned.
func (m *Manager) stop(name string) {
	m.mu.Lock()
	t, ok := m.running[name]
	delete(m.running, name)
	m.mu.Unlock()
	if !ok {
		return
	}
	t.stop()
	<-t.done
	m.Log.Info().Str("duty", name).Uint64("epoch", uint64(t.Epoch)).Msg("duty stopped")
}

// leave releases the duties and the membership, so that other processes do not have to wait for the lease to expire.
func (m *Manager) leave(ctx context.Context) error {
	held := m.Held()
	m.stopAll()
	err := m.group.Wait()
	for _, t := range held {
		m.write(ctx, record.Duty{Name: t.Name, Epoch: t.Epoch})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision, revErr := m.revision(ctx, record.EntryPrefix+m.Self.ID); revErr == nil && revision != 0 {
		if delErr := m.Store.Delete(ctx, record.EntryPrefix+m.Self.ID, revision); delErr != nil {
			m.Log.Warn().Err(delErr).Msg("registration not removed; planned stops wait for this process until the platform lists it as gone")
		}
	}
	m.mu.Lock()
	id := m.lease
	m.mu.Unlock()
	if id != 0 {
		if revokeErr := m.Store.Revoke(ctx, id); revokeErr != nil {
			m.Log.Warn().Err(revokeErr).Msg("lease not revoked; it will expire")
		}
	}
	return err
}
