package daemon

import (
	"sync"
	"time"

	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/peer"
)

// demandTTL is how long a peer's demand is counted after its last report; heartbeats resend unchanged demand.
const demandTTL = 20 * time.Second

// demandResendInterval is the interval at which unchanged demand is sent again; it is a little shorter than the heartbeat interval.
const demandResendInterval = 3500 * time.Millisecond

type reportedDemand struct {
	slots float64
	at    time.Time
}

// demands aggregates the demand of all entry instances by pool.
type demands struct {
	mu sync.Mutex
	// byEntry holds the demand that each entry instance, including this one, last reported, by entry instance and pool.
	byEntry map[string]map[string]reportedDemand
	// byReceiver holds the demand that was last sent to each peer, by peer and pool.
	byReceiver map[string]map[string]reportedDemand
}

func newDemands() *demands {
	return &demands{byEntry: map[string]map[string]reportedDemand{}, byReceiver: map[string]map[string]reportedDemand{}}
}

// record stores the demand that an entry instance reports.
func (d *demands) record(from string, pools []entry.PoolDemand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byPool := d.byEntry[from]
	if byPool == nil {
		byPool = map[string]reportedDemand{}
		d.byEntry[from] = byPool
	}
	for _, p := range pools {
		byPool[p.Pool] = reportedDemand{slots: totalSlots(p), at: now}
	}
}

// samples returns the demand for each pool, summed over all entry instances.
func (d *demands) samples(now time.Time) []move.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := map[string]float64{}
	for from, byPool := range d.byEntry {
		for pool, r := range byPool {
			if now.Sub(r.at) > demandTTL {
				delete(byPool, pool)
				continue
			}
			sums[pool] += r.slots
		}
		if len(byPool) == 0 {
			delete(d.byEntry, from)
		}
	}
	samples := make([]move.Sample, 0, len(sums))
	for pool, slots := range sums {
		samples = append(samples, move.Sample{Pool: pool, At: now, Slots: slots})
	}
	return samples
}

// due returns the demand that has changed since it was last sent to a peer or is due to be resent, and marks it as sent.
func (d *demands) due(to string, pools []entry.PoolDemand, now time.Time) []peer.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.byReceiver[to]
	if sent == nil {
		sent = map[string]reportedDemand{}
		d.byReceiver[to] = sent
	}
	var due []peer.Demand
	for _, p := range pools {
		slots := totalSlots(p)
		if slots == sent[p.Pool].slots && now.Sub(sent[p.Pool].at) < demandResendInterval {
			continue
		}
		sent[p.Pool] = reportedDemand{slots: slots, at: now}
		due = append(due, peer.Demand{Pool: p.Pool, Services: p.Services})
	}
	return due
}

// changed reports whether a pool's demand differs from the last one sent to a peer; admission already suppresses small changes.
func (d *demands) changed(to string, pools []entry.PoolDemand) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.byReceiver[to]
	for _, p := range pools {
		if totalSlots(p) != sent[p.Pool].slots {
			return true
		}
	}
	return false
}

func totalSlots(p entry.PoolDemand) float64 {
	sum := 0.0
	for _, s := range p.Services {
		sum += s.Slots
	}
	return sum
}
