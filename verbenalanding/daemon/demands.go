package daemon

import (
	"sync"
	"time"

	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/peer"
)

// demandTTL is how long a peer's demand is counted after its last report; heartbeats repeat unchanged demand.
const demandTTL = 20 * time.Second

// demandResendInterval is the time after which unchanged demand is sent again; it is a little shorter than the heartbeat interval.
const demandResendInterval = 3500 * time.Millisecond

type reported struct {
	slots float64
	at    time.Time
}

// demands aggregates the demand of all entry instances by pool.
type demands struct {
	mu    sync.Mutex
	peers map[string]map[string]reported
	sent  map[string]map[string]reported
}

func newDemands() *demands {
	return &demands{peers: map[string]map[string]reported{}, sent: map[string]map[string]reported{}}
}

// record stores the demand that an entry instance reports.
func (d *demands) record(from string, pools []entry.PoolDemand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byPool := d.peers[from]
	if byPool == nil {
		byPool = map[string]reported{}
		d.peers[from] = byPool
	}
	for _, p := range pools {
		byPool[p.Pool] = reported{slots: total(p), at: now}
	}
}

// samples returns the sum over all entry instances for each pool.
func (d *demands) samples(now time.Time) []move.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := map[string]float64{}
	for from, byPool := range d.peers {
		for pool, r := range byPool {
			if now.Sub(r.at) > demandTTL {
				delete(byPool, pool)
				continue
			}
			sums[pool] += r.slots
		}
		if len(byPool) == 0 {
			delete(d.peers, from)
		}
	}
	samples := make([]move.Sample, 0, len(sums))
	for pool, slots := range sums {
		samples = append(samples, move.Sample{Pool: pool, At: now, Slots: slots})
	}
	return samples
}

// due returns the demand to send to a peer, which is changed or due to be resent, and marks it as sent.
func (d *demands) due(to string, pools []entry.PoolDemand, now time.Time) []peer.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.sent[to]
	if sent == nil {
		sent = map[string]reported{}
		d.sent[to] = sent
	}
	var due []peer.Demand
	for _, p := range pools {
		slots := total(p)
		if slots == sent[p.Pool].slots && now.Sub(sent[p.Pool].at) < demandResendInterval {
			continue
		}
		sent[p.Pool] = reported{slots: slots, at: now}
		due = append(due, peer.Demand{Pool: p.Pool, Services: p.Services})
	}
	return due
}

// changed reports whether a pool's demand differs from the last one sent to a peer; admission already suppresses small changes.
func (d *demands) changed(to string, pools []entry.PoolDemand) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent := d.sent[to]
	for _, p := range pools {
		if total(p) != sent[p.Pool].slots {
			return true
		}
	}
	return false
}

func total(p entry.PoolDemand) float64 {
	sum := 0.0
	for _, s := range p.Services {
		sum += s.Slots
	}
	return sum
}
