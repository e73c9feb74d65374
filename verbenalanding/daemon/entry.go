package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/jobs"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

func newEntry(d *Daemon, v *view, c *claims, o *observer, s stores, registry metrics.Registry, log zerolog.Logger) (*entry.Entry, error) {
	listener, err := withTLS(d.callers, d.Settings.CallerCert, d.Settings.CallerKey, log)
	if err != nil {
		return nil, err
	}
	intake := &jobs.Intake{Store: s[store.Jobs], Configuration: v.configuration, Members: v.instances}
	e := &entry.Entry{
		ID:            d.Settings.ID,
		DataCentre:    d.Settings.DataCentre,
		Configuration: v,
		Claims:        c,
		Deferred:      &deferred.Acceptor{Store: s[store.DeferredWork]},
		Store:         s[store.DeferredWork],
		Refresh:       v.refresh,
		Alone:         v.alone,
		Listener:      listener,
		Routes:        (&jobs.API{Intake: intake}).Routes,
		Observed:      o.offer,
		Log:           log,
		Metrics:       registry,
		LeaveDelay:    d.Settings.LeaveDelay,
		ConnState:     d.callers.TrackState,
	}
	v.entry = e
	return e, nil
}

// withTLS wraps a listener in TLS when a certificate is set; a changed certificate is reloaded.
func withTLS(l net.Listener, cert, key string, log zerolog.Logger) (net.Listener, error) {
	if cert == "" {
		return l, nil
	}
	certificates := &operator.Certificates{CertFile: cert, KeyFile: key, Log: log}
	config, err := certificates.Config()
	if err != nil {
		return nil, fmt.Errorf("serve callers: %w", err)
	}
	return tls.NewListener(l, config), nil
}

// peerService handles the calls of the other entry instances.
type peerService struct {
	id        string
	configLog *configuration.Log
	mirrors   *mirrors
	entry     *entry.Entry
	view      *view
	claims    *claims
	demands   *demands
	observer  *observer
}

// newHeartbeat returns the heartbeat to send to a peer.
func (s *peerService) newHeartbeat(to string) peer.Heartbeat {
	now := time.Now()
	own := s.entry.Demand()
	s.demands.record(s.id, own, now)
	_, revision, _ := s.configLog.Current()
	return peer.Heartbeat{
		From:             s.id,
		ConfigRevision:   revision,
		InstanceRevision: s.mirrors.instances.MergedRevision(),
		Demand:           s.demands.due(to, own, now),
		Leaving:          s.view.leaving(),
	}
}

// demandChanged reports whether there is demand that has not been sent to a peer.
func (s *peerService) demandChanged(to string) bool {
	return s.demands.changed(to, s.entry.Demand())
}

// Heartbeat processes a peer's heartbeat and returns this process's heartbeat.
func (s *peerService) Heartbeat(h peer.Heartbeat) peer.Heartbeat {
	s.receiveHeartbeat(h)
	return s.newHeartbeat(h.From)
}

// receiveHeartbeat processes a peer's heartbeat, which is either a request or the answer to this process's heartbeat.
func (s *peerService) receiveHeartbeat(h peer.Heartbeat) {
	now := time.Now()
	pools := make([]entry.PoolDemand, 0, len(h.Demand))
	for _, d := range h.Demand {
		pools = append(pools, entry.PoolDemand{Pool: d.Pool, Services: d.Services})
	}
	s.entry.RecordContact()
	s.entry.PeerDemand(h.From, pools)
	s.demands.record(h.From, pools, now)
	s.view.recordLeaving(h.Leaving, now)
	s.view.requestPullIfBehind(h)
}

// Changes returns the configuration changes after a revision.
func (s *peerService) Changes(after uint64) (configuration.State, error) {
	return s.configLog.Since(after)
}

// Instances returns the instance records written after a revision.
func (s *peerService) Instances(after store.Revision) peer.Records {
	return peer.Records{
		Entries: s.mirrors.instances.WrittenAfter(after), Revision: s.mirrors.instances.MergedRevision(), SinceStoreContact: s.view.sinceStoreContact(),
	}
}

// DrainStatus returns the status of the instances' drains at this entry instance.
func (s *peerService) DrainStatus(instances []string) []drain.Status {
	wanted := map[string]bool{}
	for _, id := range instances {
		wanted[id] = true
	}
	var statuses []drain.Status
	for _, d := range s.entry.DrainStatus() {
		if wanted[d.Instance] {
			statuses = append(statuses, drain.Status{Instance: d.Instance, Applied: d.Applied, InFlight: d.InFlight})
		}
	}
	return statuses
}

// Claim handles a peer's claim.
func (s *peerService) Claim(ctx context.Context, r claim.Request) claim.Answer {
	return s.claims.serveClaim(ctx, r)
}

// Observed returns this entry instance's request statistics.
func (s *peerService) Observed() any { return s.observer.snapshot() }

// FinishClaim handles a peer's report of the outcome of a claimed request.
func (s *peerService) FinishClaim(_ context.Context, f claim.Finish) error {
	return s.claims.serveFinish(f)
}

// queryDrains returns a function that reads the drain statuses of an entry instance, which may be this one.
func (s *peerService) queryDrains(n *peer.Node) func(context.Context, record.Entry, []string) ([]drain.Status, error) {
	return func(ctx context.Context, e record.Entry, instances []string) ([]drain.Status, error) {
		if e.ID == n.Self {
			return s.DrainStatus(instances), nil
		}
		return n.DrainStatus(ctx, e.PeerAddr, instances)
	}
}
