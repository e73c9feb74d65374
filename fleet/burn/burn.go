package burn

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// Cause says why a request was bad.
type Cause string

// Causes that consume the error budget.
const (
	Refused     Cause = "refused"
	Late        Cause = "late"
	Unknown     Cause = "unknown"
	Failed      Cause = "failed"
	Maintenance Cause = "maintenance"
)

// Causes lists the causes in the order of reports.
var Causes = [...]Cause{Refused, Late, Unknown, Failed, Maintenance}

// Counts holds the numbers of good and bad requests in a period.
type Counts struct {
	Good uint64              `json:"good"`
	Bad  [len(Causes)]uint64 `json:"bad"`
}

// AddBad counts n bad requests of a cause; an unlisted cause counts as failed.
func (c *Counts) AddBad(cause Cause, n uint64) {
	i := slices.Index(Causes[:], cause)
	if i < 0 {
		i = slices.Index(Causes[:], Failed)
	}
	c.Bad[i] += n
}

// Total returns the number of all requests.
func (c Counts) Total() uint64 { return c.Good + c.TotalBad() }

// TotalBad returns the number of bad requests.
func (c Counts) TotalBad() uint64 {
	var n uint64
	for _, b := range c.Bad {
		n += b
	}
	return n
}

func (c *Counts) add(o Counts) {
	c.Good += o.Good
	for i := range c.Bad {
		c.Bad[i] += o.Bad[i]
	}
}

// Ratio returns the fraction of bad requests; 0 without requests.
func (c Counts) Ratio() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.TotalBad()) / float64(c.Total())
}

// tier is a ring buffer of counts in slots of equal length; it covers the longest window that the tier serves.
type tier struct {
	step    time.Duration
	slots   []Counts
	current int64
}

func newTier(step, span time.Duration) *tier {
	return &tier{step: step, slots: make([]Counts, int(span/step)+1)}
}

func (t *tier) index(at time.Time) int64 { return at.UnixNano() / int64(t.step) }

// advance clears the slots between the current one and that of the given time.
func (t *tier) advance(at time.Time) {
	n := t.index(at)
	if t.current == 0 {
		t.current = n
	}
	for i := 0; t.current < n && i < len(t.slots); i++ {
		t.current++
		t.slots[t.current%int64(len(t.slots))] = Counts{}
	}
	t.current = max(t.current, n)
}

func (t *tier) add(at time.Time, c Counts) {
	t.advance(at)
	n := t.index(at)
	if n <= t.current-int64(len(t.slots)) {
		return
	}
	t.slots[n%int64(len(t.slots))].add(c)
}

func (t *tier) sum(now time.Time, window time.Duration) Counts {
	t.advance(now)
	var total Counts
	steps := min(int64(window/t.step), int64(len(t.slots)))
	for i := range steps {
		n := t.current - i
		if n < 0 {
			break
		}
		total.add(t.slots[n%int64(len(t.slots))])
	}
	return total
}

// Series counts the requests of one service and class in bounded memory: 31 slots of 10 s, 73 of 5 min and at most 241
// longer ones, together about 17 KB.
type Series struct {
	tiers  []*tier
	window time.Duration
	newest time.Time
}

// Windows are the lengths for which burn rates are reported, besides the objective's whole window.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// NewSeries returns an empty series for an objective's window, at least 72 h.
func NewSeries(window time.Duration) *Series {
	window = max(window, 72*time.Hour)
	return &Series{window: window, tiers: []*tier{
		newTier(10*time.Second, 5*time.Minute),
		newTier(5*time.Minute, 6*time.Hour),
		newTier(max(time.Hour, window/240), window),
	}}
}

// Add counts requests that ended at the given time.
func (s *Series) Add(at time.Time, c Counts) {
	if at.After(s.newest) {
		s.newest = at
	}
	for _, t := range s.tiers {
		t.add(at, c)
	}
}

// AddSpan adds requests that ended within the span of time that begins at the given time. Tiers with slots shorter than the span are
// skipped, except the one with the longest slots, which must include all requests even if their time is imprecise.
func (s *Series) AddSpan(at time.Time, span time.Duration, c Counts) {
	for i, t := range s.tiers {
		if t.step >= span || i == len(s.tiers)-1 {
			t.add(at, c)
		}
	}
}

// Merge adds the counts of another process's series of the same window.
func (s *Series) Merge(o Snapshot) {
	for i, slots := range o.Tiers {
		if i >= len(s.tiers) {
			return
		}
		t := s.tiers[i]
		for n, c := range slots {
			t.add(time.Unix(0, n*int64(t.step)), c)
		}
	}
}

// Snapshot holds the non-empty counts of a series by tier and slot number.
type Snapshot struct {
	Tiers []map[int64]Counts `json:"tiers"`
}

// Snapshot returns a copy of the counts for another process.
func (s *Series) Snapshot() Snapshot {
	var out Snapshot
	for _, t := range s.tiers {
		slots := map[int64]Counts{}
		for i := range int64(len(t.slots)) {
			n := t.current - i
			if n < 0 {
				break
			}
			if c := t.slots[n%int64(len(t.slots))]; c.Total() > 0 {
				slots[n] = c
			}
		}
		out.Tiers = append(out.Tiers, slots)
	}
	return out
}

// Sum returns the counts of the window that ends now.
func (s *Series) Sum(now time.Time, window time.Duration) Counts {
	// A clock that steps back must not empty the newest slots.
	if now.Before(s.newest) {
		now = s.newest
	}
	for _, t := range s.tiers {
		if window <= t.step*time.Duration(len(t.slots)-1) {
			return t.sum(now, window)
		}
	}
	last := s.tiers[len(s.tiers)-1]
	return last.sum(now, last.step*time.Duration(len(last.slots)))
}

// Rate is the burn rate in one window.
type Rate struct {
	Window time.Duration `json:"window"`
	Counts Counts        `json:"counts"`
	// Burn is the bad fraction divided by the allowed fraction; at 1 the budget is used up exactly at the end of the window.
	Burn float64 `json:"burn"`
}

// Severity is the severity of an alert.
type Severity string

// Severities: a page needs immediate attention, a ticket can wait for the next working day.
const (
	Page   Severity = "page"
	Ticket Severity = "ticket"
)

// Alert is a burn rate above the threshold in both a long and a short window.
type Alert struct {
	Severity  Severity      `json:"severity"`
	Long      time.Duration `json:"long"`
	Short     time.Duration `json:"short"`
	Threshold float64       `json:"threshold"`
	LongBurn  float64       `json:"longBurn"`
	ShortBurn float64       `json:"shortBurn"`
	Detail    string        `json:"detail"`
}

// rule is a multi-window alerting rule; it fires when the burn rates of both windows reach the threshold.
type rule struct {
	severity    Severity
	long, short time.Duration
	threshold   float64
}

// rules has the thresholds for a 30 day window: 2% of the budget in 1 h, 5% in 6 h and 10% in 3 d. The short window ends the alert
// soon after the burn rate has dropped.
var rules = []rule{
	{Page, time.Hour, 5 * time.Minute, 14.4},
	{Page, 6 * time.Hour, time.Hour, 6},
	{Ticket, 72 * time.Hour, 6 * time.Hour, 1},
}

// minimumBad is the number of bad requests below which no alert is raised, so that a single one of a service with little traffic
// raises none.
const minimumBad = 3

// Status is the burn status of one objective.
type Status struct {
	Objective string            `json:"objective"`
	Service   string            `json:"service"`
	Class     declaration.Class `json:"class"`
	Target    float64           `json:"target"`
	Window    time.Duration     `json:"window"`
	Rates     []Rate            `json:"rates"`
	// Remaining is the unused fraction of the error budget; it is negative when the objective is missed.
	Remaining float64 `json:"remaining"`
	// Consumed is the fraction of the error budget used by each cause.
	Consumed map[Cause]float64 `json:"consumed"`
	Alerts   []Alert           `json:"alerts"`
	At       time.Time         `json:"at"`
	// Partial is true if the counts of earlier processes could not be read.
	Partial bool `json:"partial,omitempty"`
}

// Evaluate returns the status of an objective of a service and class at the given time.
func (s *Series) Evaluate(now time.Time, o declaration.Objective, class declaration.Class) Status {
	window := o.Window
	if window <= 0 {
		window = s.window
	}
	allowed := max(1-o.Target, 1e-9)
	status := Status{Objective: o.Name, Service: o.Service, Class: class, Target: o.Target, Window: window, At: now, Consumed: map[Cause]float64{}}
	for _, w := range append(slices.Clone(Windows), window) {
		c := s.Sum(now, w)
		status.Rates = append(status.Rates, Rate{Window: w, Counts: c, Burn: c.Ratio() / allowed})
	}
	counts := s.Sum(now, window)
	status.Remaining = 1 - counts.Ratio()/allowed
	for i, cause := range Causes {
		if counts.Total() > 0 {
			status.Consumed[cause] = float64(counts.Bad[i]) / float64(counts.Total()) / allowed
		}
	}
	for _, r := range rules {
		long, short := s.Sum(now, r.long), s.Sum(now, r.short)
		longBurn, shortBurn := long.Ratio()/allowed, short.Ratio()/allowed
		if longBurn < r.threshold || shortBurn < r.threshold || long.TotalBad() < minimumBad {
			continue
		}
		status.Alerts = append(status.Alerts, Alert{
			Severity: r.severity, Long: r.long, Short: r.short, Threshold: r.threshold, LongBurn: longBurn, ShortBurn: shortBurn,
			Detail: fmt.Sprintf("%d of %d requests bad in %v: burn %.1f, threshold %.1f", long.TotalBad(), long.Total(), r.long, longBurn, r.threshold),
		})
	}
	return status
}
