package daemon

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/duty"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// stores holds, for each mechanism, a store client that is limited to the mechanism's share of the store's call rates.
type stores map[store.Mechanism]store.Store

func newStores(d *Daemon, registry metrics.Registry) stores {
	s := stores{}
	for mechanism := range store.Shares {
		s[mechanism] = store.NewMetered(d.Store, mechanism, d.Settings.Entries, registry)
	}
	return s
}

// mirrors holds local copies of the records that every entry instance watches.
type mirrors struct {
	members   *mirror.Mirror[record.Entry]
	duties    *mirror.Mirror[record.Duty]
	instances *mirror.Mirror[record.Instance]
}

func newMirrors(s stores, log zerolog.Logger) *mirrors {
	return &mirrors{
		members:   &mirror.Mirror[record.Entry]{Store: s[store.Membership], Prefix: record.EntryPrefix, Log: log},
		duties:    &mirror.Mirror[record.Duty]{Store: s[store.Membership], Prefix: record.DutyPrefix, Log: log},
		instances: &mirror.Mirror[record.Instance]{Store: s[store.Maintenance], Prefix: record.InstancePrefix, Log: log},
	}
}

func newConfigurationLog(d *Daemon, s stores, log zerolog.Logger) *configuration.Log {
	l := &configuration.Log{
		Store:    s[store.Configuration],
		Validate: declaration.Validate,
		Now:      time.Now,
		Log:      log,
	}
	d.configLog.Store(l)
	return l
}

func newDutyManager(d *Daemon, s stores, m *mirrors, log zerolog.Logger) *duty.Manager {
	return &duty.Manager{
		Store: s[store.Membership],
		Self: record.Entry{
			ID:         d.Settings.ID,
			PeerAddr:   d.PeerAddr(),
			CallerAddr: d.CallerAddr(),
			Location:   d.Settings.Location(),
			Started:    time.Now(),
		},
		Members: m.members,
		Duties:  m.duties,
		Log:     log,
	}
}

func newTracker(d *Daemon, s stores) *drain.Tracker {
	return &drain.Tracker{
		Interval: d.Timing.DrainPoll,
		Members: func(ctx context.Context) (map[string]record.Entry, error) {
			return readMembers(ctx, s[store.Maintenance])
		},
	}
}

func newNode(d *Daemon, m *mirrors, log zerolog.Logger) *peer.Node {
	n := &peer.Node{Self: d.Settings.ID, Listener: d.peers, Log: log}
	n.Peers = func() []peer.Address { return peerAddresses(d, m) }
	return n
}
