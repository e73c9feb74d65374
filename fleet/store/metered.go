package store

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Mechanism names a part of the system that has a share of the store's call rates.
type Mechanism string

// The mechanisms that share the store.
const (
	Configuration Mechanism = "configuration"
	Membership    Mechanism = "membership"
	Maintenance   Mechanism = "maintenance"
	Claims        Mechanism = "claims"
	DeferredWork  Mechanism = "deferred"
	Jobs          Mechanism = "jobs"
)

// Share is the number of calls per second that a mechanism may make over all entry instances.
type Share struct {
	Writes float64
	Reads  float64
}

// Shares divides the store's call rates between the mechanisms; the remainder is a reserve.
var Shares = map[Mechanism]Share{
	Configuration: {Writes: 10, Reads: 300},
	Membership:    {Writes: 40, Reads: 200},
	Maintenance:   {Writes: 40, Reads: 300},
	Claims:        {Writes: 100, Reads: 100},
	DeferredWork:  {Writes: 60, Reads: 300},
	Jobs:          {Writes: 50, Reads: 500},
}

// burstSeconds bounds a burst of calls of a mechanism, in seconds of its share. A takeover of a duty, for example, causes a burst.
const burstSeconds = 10

// Metered is a Store that counts a mechanism's calls and rejects those above its share with ErrOverShare.
type Metered struct {
	Store     Store
	Mechanism Mechanism

	writes, reads             *rate.Limiter
	writeMeter, readMeter     metrics.Meter
	refusedMeter, failedMeter metrics.Meter
}

// NewMetered returns a metered store; entries is the number of entry instances that divide the share.
func NewMetered(s Store, m Mechanism, entries int, registry metrics.Registry) *Metered {
	share := Shares[m]
	name := "store." + string(m) + "."
	return &Metered{
		Store:        s,
		Mechanism:    m,
		writes:       newLimiter(share.Writes, entries),
		reads:        newLimiter(share.Reads, entries),
		writeMeter:   metrics.GetOrRegisterMeter(name+"writes", registry),
		readMeter:    metrics.GetOrRegisterMeter(name+"reads", registry),
		refusedMeter: metrics.GetOrRegisterMeter(name+"refused", registry),
		failedMeter:  metrics.GetOrRegisterMeter(name+"failed", registry),
	}
}

func newLimiter(share float64, entries int) *rate.Limiter {
	perEntry := share / float64(max(entries, 1))
	return rate.NewLimiter(rate.Limit(perEntry), max(int(perEntry*burstSeconds), 1))
}

// Get returns the entry of key.
func (m *Metered) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.admit(m.reads, m.readMeter, "get", key); err != nil {
		return Entry{}, err
	}
	e, err := m.Store.Get(ctx, key)
	return e, m.countFailure(err)
}

// List returns a page of the entries under prefix.
func (m *Metered) List(ctx context.Context, prefix, from string, limit int) (Page, error) {
	if err := m.admit(m.reads, m.readMeter, "list", prefix); err != nil {
		return Page{}, err
	}
	page, err := m.Store.List(ctx, prefix, from, limit)
	return page, m.countFailure(err)
}

// Put writes a key that has the expected revision.
func (m *Metered) Put(ctx context.Context, r PutRequest) (Revision, error) {
	if err := m.admit(m.writes, m.writeMeter, "put", r.Key); err != nil {
		return 0, err
	}
	revision, err := m.Store.Put(ctx, r)
	return revision, m.countFailure(err)
}

// Delete removes a key that has the expected revision.
func (m *Metered) Delete(ctx context.Context, key string, expect Revision) error {
	if err := m.admit(m.writes, m.writeMeter, "delete", key); err != nil {
		return err
	}
	return m.countFailure(m.Store.Delete(ctx, key, expect))
}

// Watch waits for events under prefix after a revision.
func (m *Metered) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error) {
	if err := m.admit(m.reads, m.readMeter, "watch", prefix); err != nil {
		return Batch{}, err
	}
	batch, err := m.Store.Watch(ctx, prefix, after, wait)
	return batch, m.countFailure(err)
}

// Grant creates a lease.
func (m *Metered) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := m.admit(m.writes, m.writeMeter, "grant", "lease"); err != nil {
		return 0, err
	}
	id, err := m.Store.Grant(ctx, ttl)
	return id, m.countFailure(err)
}

// Renew extends a lease.
func (m *Metered) Renew(ctx context.Context, id LeaseID) error {
	if err := m.admit(m.writes, m.writeMeter, "renew", "lease"); err != nil {
		return err
	}
	return m.countFailure(m.Store.Renew(ctx, id))
}

// Revoke ends a lease and removes its keys.
func (m *Metered) Revoke(ctx context.Context, id LeaseID) error {
	if err := m.admit(m.writes, m.writeMeter, "revoke", "lease"); err != nil {
		return err
	}
	return m.countFailure(m.Store.Revoke(ctx, id))
}

func (m *Metered) admit(l *rate.Limiter, meter metrics.Meter, method, key string) error {
	if !l.Allow() {
		m.refusedMeter.Mark(1)
		return fmt.Errorf("%s %s for %s: %w", method, key, m.Mechanism, ErrOverShare)
	}
	meter.Mark(1)
	return nil
}

func (m *Metered) countFailure(err error) error {
	if err != nil {
		m.failedMeter.Mark(1)
	}
	return err
}
