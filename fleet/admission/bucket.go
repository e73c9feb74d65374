package admission

import (
	"time"

	"verbenalanding.example/fleet/internal/hash"
)

const (
	bucketSets    = 2048
	bucketsPerSet = 4
)

// bucket is a token bucket; tokens are computed from the time since the last use.
type bucket struct {
	key      uint64
	tokens   float64
	lastUsed time.Duration
}

// bucketTable holds the buckets of the most recent callers and teams in constant memory. A new key replaces the least
// recently used one of its set, which then starts with a full bucket if it returns.
type bucketTable struct {
	buckets []bucket
}

func (b *bucketTable) reset() { b.buckets = make([]bucket, bucketSets*bucketsPerSet) }

// allow takes a token from the key's bucket and reports whether it had one. A bucket holds at most burst tokens and gains
// rate tokens per second.
func (b *bucketTable) allow(key uint64, rate float64, t time.Duration) bool {
	burst := max(rate, 1)
	set := b.buckets[int(key%bucketSets)*bucketsPerSet:][:bucketsPerSet]
	chosen := &set[0]
	for i := range set {
		if set[i].key == key {
			chosen = &set[i]
			break
		}
		if set[i].lastUsed < chosen.lastUsed {
			chosen = &set[i]
		}
	}
	if chosen.key != key {
		*chosen = bucket{key: key, tokens: burst, lastUsed: t}
	}
	chosen.tokens = min(chosen.tokens+rate*(t-chosen.lastUsed).Seconds(), burst)
	chosen.lastUsed = t
	if chosen.tokens < 1 {
		return false
	}
	chosen.tokens--
	return true
}

// rateLimited applies the limits of the caller and the team. A caller usually keeps its connections to one entry instance,
// so its limit is not divided. A team's requests arrive at all of them, so each entry instance permits the part of the
// rate that corresponds to its part of the demand.
func (p *Pool) rateLimited(t time.Duration, s *service, a Arrival) Reason {
	if s.CallerRate > 0 && a.Caller != 0 && !p.buckets.allow(bucketKey(a.Caller^s.hash), s.CallerRate, t) {
		return CallerLimit
	}
	if rate := p.teams[a.Team]; rate > 0 && a.Team != 0 && !p.buckets.allow(bucketKey(a.Team), rate*p.demandPart, t) {
		return TeamLimit
	}
	return NoReason
}

// bucketKey mixes a key. The result is never 0, which marks unused buckets.
func bucketKey(x uint64) uint64 { return hash.Mix(x) | 1 }
