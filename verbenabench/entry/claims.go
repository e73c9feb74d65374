package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenalanding.example/fleet/claim"
)

type claimPolicy string

const (
	onePerRequest claimPolicy = "one write per request"
	groupCommit   claimPolicy = "group commit"
)

const (
	claimSeconds = 30
	// storeLatency is the duration of a store write.
	storeLatency = 5 * time.Millisecond
	serviceTime  = time.Second
	timeStep     = time.Millisecond
)

// deployment is a deployment with the claims per second under one load.
type deployment struct {
	name    string
	load    string
	offered float64
}

// With a service time of 1 s per slot, the peak is five times the slots of the embroidery pool or the consumables pool, while the billing
// pool is at a twentieth of its mean. The mean of all non-repeatable work is 20 claims/s.
var deployments = []deployment{
	{name: "cascade", load: "peak", offered: 5*12*8 + 11*8/20.0},
	{name: "cascade", load: "mean", offered: 20},
	{name: "tintaviva", load: "peak", offered: 5 * 12 * 8},
	{name: "tintaviva", load: "mean", offered: 20},
}

// ClaimRow holds the figures of the claims' store writes of a deployment in simulated time.
type ClaimRow struct {
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Policy     string `json:"policy"`
	// Offered is the number of claims per second.
	Offered float64 `json:"offered"`
	Writes  float64 `json:"writes"`
	// PeakWrites is the largest number of writes in any second.
	PeakWrites float64 `json:"peakWrites"`
	KiloBytes  float64 `json:"kiloBytes"`
	// P50 and P99 are the latencies from claim to grant in milliseconds.
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Refused int     `json:"refused"`
}

// shard drives one journal in simulated time.
type shard struct {
	journal      claim.Journal
	writeDone    time.Time
	writing      bool
	requestTimes map[uint64]time.Time
	requests     map[uint64]claim.Request
	completions  []completion
}

type completion struct {
	at     time.Time
	report claim.Finish
}

type claimRun struct {
	row             ClaimRow
	policy          claimPolicy
	latency         *hdrhistogram.Histogram
	shards          [claim.Shards]shard
	writesPerSecond []int
	start           time.Time
	bytes           int
	writes          int
	ticket          uint64
}

// simulateClaims simulates a deployment's claims with the fleet's own journals.
func simulateClaims(d deployment, policy claimPolicy, random *rand.Rand) ClaimRow {
	r := &claimRun{
		row: ClaimRow{Deployment: d.name, Load: d.load, Offered: d.offered, Policy: string(policy)}, policy: policy, start: time.Unix(1_800_000_000, 0),
		latency: hdrhistogram.New(1, int64(time.Minute), 3), writesPerSecond: make([]int, claimSeconds+1),
	}
	for n := range r.shards {
		s := &r.shards[n]
		s.journal.Epoch = 1
		s.journal.Open(1)
		s.requestTimes, s.requests = map[uint64]time.Time{}, map[uint64]claim.Request{}
	}
	arrived := 0
	next := r.start
	for now := r.start; now.Before(r.start.Add(claimSeconds * time.Second)); now = now.Add(timeStep) {
		for !next.After(now) {
			r.submit(now, random)
			arrived++
			next = next.Add(time.Duration(random.ExpFloat64() / r.row.Offered * float64(time.Second)))
		}
		for n := range r.shards {
			r.advance(now, &r.shards[n])
		}
	}
	r.row.Writes = float64(r.writes) / claimSeconds
	r.row.KiloBytes = float64(r.bytes) / claimSeconds / 1000
	for _, n := range r.writesPerSecond {
		r.row.PeakWrites = max(r.row.PeakWrites, float64(n))
	}
	r.row.P50, r.row.P99 = milliseconds(r.latency.ValueAtQuantile(50)), milliseconds(r.latency.ValueAtQuantile(99))
	if policy == onePerRequest {
		// The baseline writes once for each claim and once for each outcome, immediately and without a limit.
		r.row.Writes, r.row.PeakWrites = 2*float64(arrived)/claimSeconds, 2*float64(arrived)/claimSeconds
		r.row.P50, r.row.P99 = milliseconds(int64(storeLatency)), milliseconds(int64(storeLatency))
	}
	return r.row
}

func (r *claimRun) submit(now time.Time, random *rand.Rand) {
	if r.policy == onePerRequest {
		r.bytes += 300
		return
	}
	r.ticket++
	request := claim.Request{
		Service: "tonerReorder", KeyHash: fmt.Sprint(random.Uint64()), BodyDigest: "d", ClaimID: fmt.Sprint(r.ticket),
	}
	s := &r.shards[claim.ShardOf(request.Service, request.KeyHash)]
	s.requestTimes[r.ticket], s.requests[r.ticket] = now, request
	r.apply(now, s, s.journal.Step(now, claim.Claim{Request: request, Ticket: r.ticket}))
}

func (r *claimRun) advance(now time.Time, s *shard) {
	for len(s.completions) > 0 && !s.completions[0].at.After(now) {
		f := s.completions[0].report
		s.completions = s.completions[1:]
		r.apply(now, s, s.journal.Step(now, claim.Finished{Finish: f}))
	}
	if s.writing && !s.writeDone.After(now) {
		s.writing = false
		r.apply(now, s, s.journal.Step(now, claim.Committed{}))
	}
	if due, ok := s.journal.NextTick(now); ok && !due.After(now) {
		r.apply(now, s, s.journal.Step(now, claim.Tick{}))
	}
}

func (r *claimRun) apply(now time.Time, s *shard, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			s.writing, s.writeDone = true, now.Add(storeLatency)
			r.writes++
			r.writesPerSecond[int(now.Sub(r.start)/time.Second)]++
			value, _ := json.Marshal(a.Segment)
			r.bytes += len(value)
		case claim.Grant:
			_ = r.latency.RecordValue(int64(now.Sub(s.requestTimes[a.Ticket])))
			q := s.requests[a.Ticket]
			s.completions = append(s.completions, completion{now.Add(serviceTime), claim.Finish{
				Service: q.Service, KeyHash: q.KeyHash, ClaimID: q.ClaimID, Outcome: claim.Completed,
			}})
			delete(s.requestTimes, a.Ticket)
			delete(s.requests, a.Ticket)
		case claim.Reject:
			r.row.Refused++
		}
	}
}
