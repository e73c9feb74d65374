package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// renew renews the lease and restores the membership. If the lease has expired, other processes may hold the duties by now, so all duties
// are stopped before a new lease is granted.
func (m *Manager) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	m.mu.Lock()
	id := m.lease
	m.mu.Unlock()
	if id != 0 {
		err := m.Store.Renew(ctx, id)
		if err == nil {
			m.confirm(id, sent)
			m.logStoreState(nil)
			if m.registrationLost() {
				m.Log.Warn().Msg("registration was removed; registering again")
				m.rejoin(ctx)
			}
			return
		}
		if !errors.Is(err, store.ErrLeaseExpired) {
			m.logStoreState(err)
			return
		}
		m.Log.Warn().Msg("lease expired; all duties are stopped")
		m.confirm(0, time.Time{})
		m.stopAll()
	}
	m.logStoreState(m.join(ctx, sent))
}

// logStoreState logs the first failed call and the first one that succeeds after it. An outage of minutes would otherwise write a line every
// few seconds.
func (m *Manager) logStoreState(err error) {
	switch {
	case err != nil && !m.storeFailing:
		m.Log.Warn().Err(err).Msg("store is unreachable; check its address and the network. Planned operations do not start until it answers, and a process that has just started serves once the store or a peer answers")
	case err == nil && m.storeFailing:
		m.Log.Info().Msg("store is reachable again")
	}
	m.storeFailing = err != nil
}

// confirm records the lease and when the call was sent that confirmed it; id 0 means no lease.
func (m *Manager) confirm(id store.LeaseID, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.renewed = id, at
}

// join registers the process and writes its live key under a new lease. The registration itself stays when the lease expires, so that a
// planned stop keeps waiting for a process that is disconnected and may still serve requests.
func (m *Manager) join(ctx context.Context, sent time.Time) error {
	id, err := m.Store.Grant(ctx, m.TTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	if err := m.put(ctx, record.EntryPrefix+m.Self.ID, 0); err != nil {
		return err
	}
	if err := m.put(ctx, record.EntryPrefix+m.Self.ID+record.LiveSuffix, id); err != nil {
		return err
	}
	if err := m.joined(ctx); err != nil {
		return err
	}
	m.confirm(id, sent)
	return nil
}

// registrationLost reports whether the mirror lacks the registration of this process although its live key exists.
func (m *Manager) registrationLost() bool {
	_, _, live := m.Members.Get(m.Self.ID + record.LiveSuffix)
	_, _, registered := m.Members.Get(m.Self.ID)
	return live && !registered
}

// rejoin restores a registration that was removed.
func (m *Manager) rejoin(ctx context.Context) {
	err := m.put(ctx, record.EntryPrefix+m.Self.ID, 0)
	if err == nil {
		err = m.joined(ctx)
	}
	if err != nil {
		m.Log.Warn().Err(err).Msg("registration could not be restored")
		m.confirm(0, time.Time{})
	}
}

func (m *Manager) joined(ctx context.Context) error {
	if m.OnJoined == nil {
		return nil
	}
	return m.OnJoined(ctx)
}

// put writes this process's record to a key, under a lease unless id is 0.
func (m *Manager) put(ctx context.Context, key string, id store.LeaseID) error {
	expect, err := m.revision(ctx, key)
	if err != nil {
		return err
	}
	_, err = record.Save(ctx, m.Store, key, m.Self, expect, id)
	return err
}

// revision returns the current revision of a key, 0 if it does not exist.
func (m *Manager) revision(ctx context.Context, key string) (store.Revision, error) {
	e, err := m.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", key, err)
	}
	return e.Revision, nil
}
