package duty

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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
	// DefaultTTL is the time after which a lease that was not renewed ends.
	DefaultTTL = 10 * time.Second
	// DefaultInterval is the time between two renewals.
	DefaultInterval = 3 * time.Second
	// rankDelay is how long a candidate waits for each candidate preferred to it, so that they rarely compete.
	rankDelay = time.Second
	// settleTime is how long a member must have been there before duties are handed over to it, so that a process
	// that restarts in a loop does not move duties around.
	settleTime = 15 * time.Second
	// callTimeout bounds each call to the store.
	callTimeout = 3 * time.Second
)

// Term is the time in which one holder has a duty.
type Term struct {
	Name  string
	Epoch record.Epoch
}

// Keeper keeps this process's membership and holds its share of the duties.
type Keeper struct {
	Store store.Store
	Self  record.Entry
	// Names returns the duties that exist.
	Names func() []string
	// Work carries out a duty until its context ends; it is called again after an error.
	Work func(ctx context.Context, t Term) error
	// Members follows the entry instances, Duties the holders; both are run by the caller.
	Members *mirror.Mirror[record.Entry]
	Duties  *mirror.Mirror[record.Duty]
	// TTL and Interval are DefaultTTL and DefaultInterval when zero.
	TTL      time.Duration
	Interval time.Duration
	// Joined is called after each registration in the store; an error makes the registration be repeated. Nil for none.
	Joined func(ctx context.Context) error
	Log    zerolog.Logger

	mu      sync.Mutex
	lease   store.LeaseID
	renewed time.Time
	running map[string]*term
	absent  map[string]time.Time
	seen    map[string]time.Time
	handed  time.Time
	failing bool
	group   *errgroup.Group
}

type term struct {
	Term
	stop context.CancelFunc
	done chan struct{}
}

// Run renews the membership and campaigns for duties until the context ends; then it gives everything back.
func (k *Keeper) Run(ctx context.Context) error {
	k.setDefaults()
	ticker := time.NewTicker(k.Interval)
	defer ticker.Stop()
	// Duties are looked at more often than the lease is renewed; this costs no calls to the store.
	campaign := time.NewTicker(k.Interval / 6)
	defer campaign.Stop()
	k.renew(ctx)
	for {
		select {
		case <-ctx.Done():
			return k.leave(context.WithoutCancel(ctx))
		case <-ticker.C:
			k.renew(ctx)
		case now := <-campaign.C:
			k.campaign(ctx, now)
		}
	}
}

func (k *Keeper) setDefaults() {
	if k.TTL == 0 {
		k.TTL = DefaultTTL
	}
	if k.Interval == 0 {
		k.Interval = DefaultInterval
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running = map[string]*term{}
	k.absent = map[string]time.Time{}
	k.seen = map[string]time.Time{}
	k.group = &errgroup.Group{}
}

// Held returns the terms that this process has now.
func (k *Keeper) Held() []Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	var terms []Term
	for _, t := range k.running {
		terms = append(terms, t.Term)
	}
	slices.SortFunc(terms, func(a, b Term) int { return cmp.Compare(a.Name, b.Name) })
	return terms
}

// Registered reports whether the store confirmed this process's membership within the lease's time.
func (k *Keeper) Registered() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease != 0 && time.Since(k.renewed) < k.TTL
}

// Renewed returns when the store last confirmed this process's lease.
func (k *Keeper) Renewed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.renewed
}

// renew keeps the lease and the membership record alive. A lease that ended means that others may hold the duties by
// now, so all are stopped first.
func (k *Keeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	k.mu.Lock()
	id := k.lease
	k.mu.Unlock()
	if id != 0 {
		err := k.Store.Renew(ctx, id)
		if err == nil {
			k.confirm(id, began)
			k.logStore(nil)
			if k.registrationLost() {
				k.Log.Warn().Msg("registration was removed, it is written again")
				k.rejoin(ctx)
			}
			return
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			k.logStore(err)
			return
		}
		k.Log.Warn().Msg("lease expired, all duties are given up")
		k.confirm(0, time.Time{})
		k.stopAll()
	}
	k.logStore(k.join(ctx, began))
}

// logStore logs the first failed call and the first one that succeeds again; an outage of minutes would otherwise write a
// line every few seconds.
func (k *Keeper) logStore(err error) {
	switch {
	case err != nil && !k.failing:
		k.Log.Warn().Err(err).Msg("the store does not answer; check its address and the network. Nothing planned begins until it does, and a process that has just started serves once the store or a peer answers")
	case err == nil && k.failing:
		k.Log.Info().Msg("the store answers again")
	}
	k.failing = err != nil
}

func (k *Keeper) confirm(id store.LeaseID, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.renewed = id, at
}

// join registers the process and writes its live key under a new lease. The registration stays when the lease ends, so
// that a planned stop goes on waiting for a process that is cut off and may still serve requests.
func (k *Keeper) join(ctx context.Context, began time.Time) error {
	id, err := k.Store.Grant(ctx, k.TTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	if err := k.put(ctx, record.EntryPrefix+k.Self.ID, 0); err != nil {
		return err
	}
	if err := k.put(ctx, record.EntryPrefix+k.Self.ID+record.LiveSuffix, id); err != nil {
		return err
	}
	if err := k.joined(ctx); err != nil {
		return err
	}
	k.confirm(id, began)
	return nil
}

// registrationLost reports whether the mirror lacks this process's registration although its live key is there.
func (k *Keeper) registrationLost() bool {
	_, _, live := k.Members.Get(k.Self.ID + record.LiveSuffix)
	_, _, registered := k.Members.Get(k.Self.ID)
	return live && !registered
}

func (k *Keeper) rejoin(ctx context.Context) {
	err := k.put(ctx, record.EntryPrefix+k.Self.ID, 0)
	if err == nil {
		err = k.joined(ctx)
	}
	if err != nil {
		k.Log.Warn().Err(err).Msg("registration was not written again")
		k.confirm(0, time.Time{})
	}
}

func (k *Keeper) joined(ctx context.Context) error {
	if k.Joined == nil {
		return nil
	}
	return k.Joined(ctx)
}

func (k *Keeper) put(ctx context.Context, key string, id store.LeaseID) error {
	expect, err := k.revision(ctx, key)
	if err != nil {
		return err
	}
	_, err = record.Save(ctx, k.Store, key, k.Self, expect, id)
	return err
}

func (k *Keeper) revision(ctx context.Context, key string) (store.Revision, error) {
	e, err := k.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", key, err)
	}
	return e.Revision, nil
}

// campaign takes over duties that nobody holds, hands over those that another member is preferred for, and stops those
// that were lost or removed.
func (k *Keeper) campaign(ctx context.Context, now time.Time) {
	if !k.Members.Loaded() || !k.Duties.Loaded() || !k.Registered() {
		return
	}
	members := k.members(now)
	names := k.Names()
	k.stopRemoved(names)
	holders := k.Duties.All()
	for _, name := range names {
		holder, known := holders[name]
		switch {
		case known && holder.Holder == k.Self.ID:
			k.hold(ctx, name, holder, members, now)
		case known && slices.Contains(members, holder.Holder):
			k.lost(name, holder.Epoch)
			delete(k.absent, name)
		default:
			k.lost(name, holder.Epoch)
			k.takeOver(ctx, name, holder, members, now)
		}
	}
}

// members returns the live entry instances and notes when each was first seen.
func (k *Keeper) members(now time.Time) []string {
	live := record.MembersOf(k.Members.All()).Live
	var names []string
	for name := range live {
		names = append(names, name)
		if _, ok := k.seen[name]; !ok {
			k.seen[name] = now
		}
	}
	for name := range k.seen {
		if _, ok := live[name]; !ok {
			delete(k.seen, name)
		}
	}
	slices.Sort(names)
	return names
}

// hold runs a duty that the store says is ours, or hands it over to the preferred member.
func (k *Keeper) hold(ctx context.Context, name string, d record.Duty, members []string, now time.Time) {
	k.mu.Lock()
	t, ok := k.running[name]
	k.mu.Unlock()
	if !ok {
		// A restarted process with the same id may not continue the epoch of its predecessor.
		k.takeOver(ctx, name, d, []string{k.Self.ID}, now)
		return
	}
	if d.Epoch > t.Epoch {
		// A lost answer hid that the store accepted a later epoch of this process.
		k.stop(name)
		k.takeOver(ctx, name, d, []string{k.Self.ID}, now)
		return
	}
	if d.Epoch < t.Epoch {
		return
	}
	preferred := Order(name, members)[0]
	settled := now.Sub(k.seen[preferred]) > settleTime
	if preferred == k.Self.ID || !settled || now.Sub(k.handed) < k.Interval {
		return
	}
	k.handed = now
	k.stop(name)
	k.write(ctx, record.Duty{Name: name, Epoch: d.Epoch})
}

// takeOver writes the duty with the next epoch once the candidates preferred to this process had their time.
func (k *Keeper) takeOver(ctx context.Context, name string, d record.Duty, members []string, now time.Time) {
	since, ok := k.absent[name]
	if !ok {
		since = now
		k.absent[name] = now
	}
	rank := slices.Index(Order(name, members), k.Self.ID)
	if rank < 0 || now.Sub(since) < time.Duration(rank)*rankDelay {
		return
	}
	next := record.Duty{Name: name, Holder: k.Self.ID, Epoch: d.Epoch + 1}
	if k.write(ctx, next) {
		delete(k.absent, name)
		k.start(ctx, Term{Name: name, Epoch: next.Epoch})
	}
}

// write stores the duty's record when it is still as the mirror shows it. After a lost answer the process does not
// know whether it holds the duty; it then waits for the mirror and takes over its own epoch with the next one.
func (k *Keeper) write(ctx context.Context, d record.Duty) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, expect, _ := k.Duties.Get(d.Name)
	_, err := record.Save(ctx, k.Store, record.DutyPrefix+d.Name, d, expect, 0)
	if err != nil {
		k.Log.Debug().Err(err).Str("duty", d.Name).Msg("duty was not written")
	}
	return err == nil
}

func (k *Keeper) start(ctx context.Context, t Term) {
	ctx, cancel := context.WithCancel(ctx)
	running := &term{Term: t, stop: cancel, done: make(chan struct{})}
	k.mu.Lock()
	k.running[t.Name] = running
	k.mu.Unlock()
	k.Log.Info().Str("duty", t.Name).Uint64("epoch", uint64(t.Epoch)).Msg("duty taken over")
	k.group.Go(func() error {
		defer close(running.done)
		k.work(ctx, t)
		return nil
	})
}

// work repeats the duty after an error until it is stopped.
func (k *Keeper) work(ctx context.Context, t Term) {
	for ctx.Err() == nil {
		err := k.Work(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, record.ErrFenced) {
			k.Log.Warn().Str("duty", t.Name).Msg("duty was taken over by another process")
			return
		}
		k.Log.Error().Err(err).Str("duty", t.Name).Msg("duty ended, it is started again")
		mirror.WaitJittered(ctx, k.Interval)
	}
}

// lost stops a duty that another holder has with a newer epoch, or that was given back.
func (k *Keeper) lost(name string, epoch record.Epoch) {
	k.mu.Lock()
	t, ok := k.running[name]
	k.mu.Unlock()
	// The mirror may lag behind this process's own take-over.
	if ok && epoch >= t.Epoch {
		k.stop(name)
	}
}

func (k *Keeper) stopRemoved(names []string) {
	for _, t := range k.Held() {
		if !slices.Contains(names, t.Name) {
			k.stop(t.Name)
		}
	}
}

func (k *Keeper) stopAll() {
	for _, t := range k.Held() {
		k.stop(t.Name)
	}
}

// stop ends a duty and waits until its work has returned.
func (k *Keeper) stop(name string) {
	k.mu.Lock()
	t, ok := k.running[name]
	delete(k.running, name)
	k.mu.Unlock()
	if !ok {
		return
	}
	t.stop()
	<-t.done
	k.Log.Info().Str("duty", name).Uint64("epoch", uint64(t.Epoch)).Msg("duty stopped")
}

// leave gives back the duties and the membership, so that others need not wait for the lease to end.
func (k *Keeper) leave(ctx context.Context) error {
	held := k.Held()
	k.stopAll()
	err := k.group.Wait()
	for _, t := range held {
		k.write(ctx, record.Duty{Name: t.Name, Epoch: t.Epoch})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision, revErr := k.revision(ctx, record.EntryPrefix+k.Self.ID); revErr == nil && revision != 0 {
		if delErr := k.Store.Delete(ctx, record.EntryPrefix+k.Self.ID, revision); delErr != nil {
			k.Log.Warn().Err(delErr).Msg("registration was not removed, planned stops wait for this process until the platform lists it as gone")
		}
	}
	k.mu.Lock()
	id := k.lease
	k.mu.Unlock()
	if id != 0 {
		if revokeErr := k.Store.Revoke(ctx, id); revokeErr != nil {
			k.Log.Warn().Err(revokeErr).Msg("lease was not given back, it ends by itself")
		}
	}
	return err
}
