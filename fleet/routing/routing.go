package routing

import "time"

// State is whether a member may receive new requests.
type State uint8

// The states of a member.
const (
	// InService members receive requests.
	InService State = iota
	// Draining members receive no new requests.
	Draining
	// Leaving members receive no new requests.
	Leaving
)

// Member is an instance of the pool.
type Member struct {
	ID         string
	DataCentre string
	Rack       string
	State      State
	// RoundTrip is the round-trip time to the instance; 0 if it is not known.
	RoundTrip time.Duration
}

// Query describes the attempt for which an instance is selected.
type Query struct {
	// Random is a uniformly distributed random number.
	Random uint64
	// Avoid is the instance of the previous attempt; it is chosen only if no other is usable.
	Avoid string
	// Repeatable is the service's declaration.
	Repeatable bool
}

// Choice is the instance chosen for an attempt.
type Choice struct {
	Instance string
	// Trial is set if the instance was ejected and has not yet completed a request since.
	Trial bool
	// Timeout is how long the caller should wait for the response to the trial of a repeatable request before it retries
	// at another instance; 0 sets no limit other than the deadline.
	Timeout time.Duration
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded is a complete response.
	Succeeded Outcome = iota
	// Failed is an error response, a refused or a lost connection.
	Failed
	// TimedOut is an attempt without a complete response in time.
	TimedOut
	// Rejected is a response that reports that the backend server has no capacity.
	Rejected
	// Abandoned is an attempt from which nothing is learned about the instance, for example because the caller disconnected.
	Abandoned
)

// Result describes an ended attempt.
type Result struct {
	Instance string
	Outcome  Outcome
	Took     time.Duration
	// Expected is the service's learned service time as passed to Started; 0 if it is not known.
	Expected time.Duration
}

// EjectReason is the reason for a change.
type EjectReason uint8

// The reasons for a change.
const (
	// Recovered members are no longer ejected.
	Recovered EjectReason = iota
	// Failing members fail most attempts.
	Failing
	// Slow members have several times the latency of the pool.
	Slow
	// Stalled members have requests in flight and complete none, although they answer probes.
	Stalled
	// Unreachable members have overdue requests and do not answer a probe.
	Unreachable
)

// Change reports that a member was ejected or returned.
type Change struct {
	Instance string
	Ejected  bool
	Reason   EjectReason
}

// Router chooses instances of one pool for one entry instance; exported fields are set before the first call.
type Router struct {
	// DataCentre is the data centre of this entry instance.
	DataCentre string
	// Connections is the connection limit of an instance over all entry instances; 0 selects 64.
	Connections int
	// Choices is the number of members compared for each pick; 0 selects 3.
	Choices int
	// EjectFor is the duration of a first ejection; it doubles with each failed probe up to 4 s. 0 selects 1 s.
	EjectFor time.Duration
	// SlowFactor is the multiple of the pool's latency at which a member is ejected as slow; 0 selects 3.
	SlowFactor float64

	members     []member
	index       map[string]int
	withinQuota indexSet
	available   indexSet
	ejected     indexSet
	entries     int
	serving     int
	meanLatency float64
	samples     int
	failureRate float64
	changes     []Change
	// probesRequested is set once the caller has called Probes; without probes, ejections end after their time.
	probesRequested bool
	lastTick        time.Time
}

type member struct {
	Member
	inFlight int
	// staleInFlight is the number of requests in flight that began before the last ejection. They occupy connections, but
	// do not count as load after the member has returned.
	staleInFlight    int
	ejectedAt        time.Time
	quota            int
	assumedRoundTrip float64
	// latencyRatio is the average ratio of latency to expected service time, failureRate the average of failed attempts.
	latencyRatio float64
	failureRate  float64
	samples      int
	ejected      bool
	ejectedUntil time.Time
	ejections    int
	probing      bool
	// nextProbe is the earliest time of the next probe of a suspected member.
	nextProbe time.Time
	// rampLimit is the limit of requests in flight after a return; it doubles with each success. 0 sets no limit.
	rampLimit int
	// expectedRate is the expected completions per second of the requests in flight; missedCompletions is the number of
	// completions expected since the last one.
	expectedRate      float64
	missedCompletions float64
	lastProgress      time.Time
}

// Default fills unset fields.
func (r *Router) Default() *Router {
	if r.Connections == 0 {
		r.Connections = 64
	}
	if r.Choices == 0 {
		r.Choices = 3
	}
	if r.EjectFor == 0 {
		r.EjectFor = time.Second
	}
	if r.SlowFactor == 0 {
		r.SlowFactor = 3
	}
	r.entries = max(r.entries, 1)
	return r
}

// SetMembers replaces the pool's members; members that remain keep their measured values.
func (r *Router) SetMembers(now time.Time, members []Member) {
	previous, previousIndex := r.members, r.index
	r.members = make([]member, len(members))
	r.index = make(map[string]int, len(members))
	for i, n := range members {
		m := member{quota: -1, latencyRatio: 1, lastProgress: now}
		if k, ok := previousIndex[n.ID]; ok {
			m = previous[k]
		}
		m.Member = n
		m.assumedRoundTrip = r.assumedRoundTrip(n)
		r.members[i] = m
		r.index[n.ID] = i
	}
	r.withinQuota.reset(len(members))
	r.available.reset(len(members))
	r.ejected.reset(len(members))
	r.serving = 0
	for i := range r.members {
		if r.members[i].State == InService {
			r.serving++
		}
		r.updateLists(i)
	}
	r.limitEjections()
}

// assumedRoundTrip returns the assumed round-trip time in seconds; 1 ms is the usual time between data centres.
func (r *Router) assumedRoundTrip(m Member) float64 {
	if m.RoundTrip == 0 && m.DataCentre != r.DataCentre {
		return 0.001
	}
	return m.RoundTrip.Seconds()
}

// SetEntries sets the number of registered entry instances, which divide each instance's connections equally.
func (r *Router) SetEntries(n int) {
	r.entries = max(n, 1)
	for i := range r.members {
		r.updateLists(i)
	}
}

// SetQuota sets how many requests this entry instance should have in flight at an instance at most. Quotas are
// exceeded, up to the connection limit, only if no usable instance has free capacity within its quota.
func (r *Router) SetQuota(instance string, n int) {
	if i, ok := r.index[instance]; ok {
		r.members[i].quota = n
		r.updateLists(i)
	}
}

// Usable reports whether an instance is in service and not ejected.
func (r *Router) Usable(instance string) bool {
	i, ok := r.index[instance]
	return ok && r.members[i].State == InService && !r.members[i].ejected
}

// InFlight returns the attempts of this entry instance that are in flight at an instance.
func (r *Router) InFlight(instance string) int {
	if i, ok := r.index[instance]; ok {
		return r.members[i].inFlight
	}
	return 0
}

// Changes appends the members that were ejected or returned since the last call to out.
func (r *Router) Changes(out []Change) []Change {
	out = append(out, r.changes...)
	r.changes = r.changes[:0]
	return out
}

// load returns the number of requests in flight without those from before the last ejection.
func (m *member) load() int { return m.inFlight - m.staleInFlight }

// cap returns the number of connections to one instance that this entry instance may use.
func (r *Router) cap() int { return max(r.Connections/r.entries, 1) }

// updateLists adds a member to the lists that match its state and removes it from the others.
func (r *Router) updateLists(i int) {
	m := &r.members[i]
	serving := m.State == InService
	available := serving && !m.ejected && m.inFlight < r.cap() && (m.rampLimit == 0 || m.load() < m.rampLimit)
	r.available.set(i, available)
	r.withinQuota.set(i, available && (m.quota < 0 || m.load() < m.quota))
	r.ejected.set(i, serving && m.ejected)
}
