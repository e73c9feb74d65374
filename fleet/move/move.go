package move

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
)

// Member is the part of an instance's state that the planner uses.
type Member struct {
	budget.Member
	InService bool
	// Busy marks an instance that a wave, a retirement or a move stops.
	Busy     bool
	Cordoned bool
	InFlight int
}

// Pool is a pool with its members; Incoming are instances that are being moved to it.
type Pool struct {
	Declared declaration.Pool
	Members  []Member
	Incoming []Member
}

// Sample is the demand on a pool in request slots, queued requests included.
type Sample struct {
	Pool  string
	At    time.Time
	Slots float64
}

// Action is Move or Hold.
type Action interface{ action() }

// Move requests to move an instance from its pool to another.
type Move struct {
	Instance string
	From     string
	To       string
	Rule     string
	Detail   string
}

// Hold reports why a pool keeps its instances or does not get more.
type Hold struct {
	Pool   string
	Rule   string
	Detail string
}

func (Move) action() {}
func (Hold) action() {}

// Target is the number of instances a pool should have.
type Target struct {
	Pool string
	// Size is the current number of instances, including incoming ones.
	Size int
	// Low is the number needed within the lead time, High the number needed within the hold time.
	Low  int
	High int
	// Level is the demand now and Expected the highest demand expected within the hold time, in slots.
	Level    float64
	Expected float64
	// RackLoss is the largest number of instances in one rack, which the loss of that rack would remove.
	RackLoss int
}

// Planner learns demand and decides moves; the zero value of a field is replaced by its default.
type Planner struct {
	// Interval is the time between samples and Window the time over which their median is taken.
	Interval time.Duration
	Window   time.Duration
	// MinSamples is the minimum number of samples of which the median is taken. If an eighth of the samples are in bursts, the
	// median of 10 samples is that of a burst every few hours; with 30 samples this does not happen in years.
	MinSamples int
	// Period is the length of the cycle in which demand repeats and Bin the resolution at which it is learned.
	Period time.Duration
	Bin    time.Duration
	// LeadTime is how long before expected demand instances are moved in. HoldTime is how long a surplus must be expected to
	// last before instances are moved out.
	LeadTime time.Duration
	HoldTime time.Duration
	// SettleTime is how long a surplus must have lasted before instances are moved out while the demand within the hold time
	// is not completely learned.
	SettleTime time.Duration
	// Utilization is the share of a pool's slots that the demand level, without bursts, may take.
	Utilization float64

	histories map[string]*history
}

// Default fills unset fields.
func (p *Planner) Default() {
	p.Interval = cmp.Or(p.Interval, 10*time.Second)
	// Bursts last seconds; a median over 5 minutes ignores those of up to 2 minutes.
	p.Window = cmp.Or(p.Window, 5*time.Minute)
	p.MinSamples = cmp.Or(p.MinSamples, 30)
	p.Period = cmp.Or(p.Period, 24*time.Hour)
	p.Bin = cmp.Or(p.Bin, 15*time.Minute)
	p.LeadTime = cmp.Or(p.LeadTime, 15*time.Minute)
	p.HoldTime = cmp.Or(p.HoldTime, 2*time.Hour)
	p.SettleTime = cmp.Or(p.SettleTime, time.Hour)
	p.Utilization = cmp.Or(p.Utilization, 0.85)
	if p.histories == nil {
		p.histories = map[string]*history{}
	}
}

// Observe adds a sample; samples of a pool arrive in time order.
func (p *Planner) Observe(s Sample) {
	p.Default()
	h := p.histories[s.Pool]
	if h == nil {
		h = &history{}
		p.histories[s.Pool] = h
	}
	h.observe(p, s.At, s.Slots)
}

// Forecast returns the demand level of a pool now and the highest expected within a time, in slots.
func (p *Planner) Forecast(pool string, now time.Time, ahead time.Duration) (level, expected float64) {
	p.Default()
	h := p.histories[pool]
	if h == nil {
		return 0, 0
	}
	e, _ := h.expected(p, now, ahead)
	return h.level, math.Max(h.level, e)
}

// Target returns how many instances a pool should have.
func (p *Planner) Target(now time.Time, pool Pool) Target {
	p.Default()
	return p.target(now, pool, rackCounts(pool))
}

func (p *Planner) target(now time.Time, pool Pool, racks map[budget.Domain]int) Target {
	t := Target{Pool: pool.Declared.Name, Size: len(pool.Members) + len(pool.Incoming)}
	for _, n := range racks {
		t.RackLoss = max(t.RackLoss, n)
	}
	soon := 0.0
	t.Level, soon = p.Forecast(t.Pool, now, p.LeadTime)
	_, t.Expected = p.Forecast(t.Pool, now, p.HoldTime)
	t.Low = p.instances(pool, soon, t.RackLoss)
	t.High = p.instances(pool, t.Expected, t.RackLoss)
	return t
}

// instances returns the number of instances that serve the demand at the target utilization, and at full utilization after
// the loss of rackLoss instances.
func (p *Planner) instances(pool Pool, demand float64, rackLoss int) int {
	slots := float64(max(1, pool.Declared.Slots))
	n := max(int(math.Ceil(demand/(slots*p.Utilization))), int(math.Ceil(demand/slots))+rackLoss)
	n = max(n, pool.Declared.Minimum, 1)
	if pool.Declared.Maximum > 0 {
		n = min(n, pool.Declared.Maximum)
	}
	return n
}

func rackCounts(pool Pool) map[budget.Domain]int {
	racks := map[budget.Domain]int{}
	for _, list := range [][]Member{pool.Members, pool.Incoming} {
		for _, m := range list {
			racks[budget.RackOf(m.Member)]++
		}
	}
	return racks
}

// pool is a pool with its target and the moves decided so far in one planning step.
type pool struct {
	Pool
	target  Target
	history *history
	surplus int
	racks   map[budget.Domain]int
	movable []Member
}

// Plan decides the moves of one step; the caller executes the moves out of the pools that it owns.
func (p *Planner) Plan(now time.Time, pools []Pool) []Action {
	p.Default()
	all := make([]*pool, 0, len(pools))
	for _, declared := range pools {
		all = append(all, p.prepare(now, declared))
	}
	slices.SortFunc(all, func(a, b *pool) int { return cmp.Compare(a.Declared.Name, b.Declared.Name) })
	var actions []Action
	stock := newSupply(all)
	for _, recipient := range p.byDeficit(all) {
		actions = append(actions, p.fill(recipient, stock)...)
	}
	for _, donor := range all {
		actions = append(actions, p.returnSurplus(donor, stock)...)
	}
	return actions
}

func (p *Planner) prepare(now time.Time, declared Pool) *pool {
	racks := rackCounts(declared)
	q := &pool{Pool: declared, target: p.target(now, declared, racks), racks: racks}
	q.history = p.histories[declared.Declared.Name]
	for _, m := range declared.Members {
		if m.InService && !m.Busy {
			q.movable = append(q.movable, m)
		}
	}
	if declared.Declared.Spare {
		q.surplus = len(declared.Members) - declared.Declared.Minimum
		return q
	}
	q.surplus = p.surplus(now, q)
	return q
}

// surplus returns how many instances the pool does not need for the hold time.
func (p *Planner) surplus(now time.Time, q *pool) int {
	if !q.history.windowFull(p) {
		return 0
	}
	n := q.target.Size - max(q.target.High, q.target.Low)
	// Incoming instances do not serve yet; moving others out in the meantime emptied a pool in the benchmark.
	if n <= 0 || len(q.Incoming) > 0 {
		q.history.surplusSince = time.Time{}
		return 0
	}
	if q.history.surplusSince.IsZero() {
		q.history.surplusSince = now
	}
	_, complete := q.history.expected(p, now, p.HoldTime)
	if !complete && now.Sub(q.history.surplusSince) < p.SettleTime {
		return 0
	}
	return n
}

// byDeficit returns the pools that need instances, the one with the largest relative deficit first.
func (p *Planner) byDeficit(all []*pool) []*pool {
	var recipients []*pool
	for _, q := range all {
		if !q.Declared.Spare && q.history.windowFull(p) && q.target.Low > q.target.Size {
			recipients = append(recipients, q)
		}
	}
	deficit := func(q *pool) float64 {
		return float64(q.target.Low-q.target.Size) / float64(q.target.Low)
	}
	slices.SortStableFunc(recipients, func(a, b *pool) int { return cmp.Compare(deficit(b), deficit(a)) })
	return recipients
}

// fill moves instances to a pool that needs more.
func (p *Planner) fill(recipient *pool, stock *supply) []Action {
	var actions []Action
	detail := fmt.Sprintf("demand %.0f slots, %.0f expected, needs %d instances and has %d, a rack takes %d", recipient.target.Level, recipient.target.Expected, recipient.target.Low, recipient.target.Size, recipient.target.RackLoss)
	for deficit := recipient.target.Low - recipient.target.Size; deficit > 0; deficit-- {
		donor, m := chooseInstance(recipient, stock.nextDonors())
		if donor == nil {
			return append(actions, Hold{Pool: recipient.Declared.Name, Rule: "noSpare", Detail: detail})
		}
		bookMove(donor, recipient, m)
		actions = append(actions, Move{Instance: m.ID, From: donor.Declared.Name, To: recipient.Declared.Name, Rule: "demand", Detail: detail})
	}
	return actions
}

// maxDonors limits the pools among which an instance is chosen, so that the cost of a step grows with the number of moves and
// not with the product of moves and pools.
const maxDonors = 4

// supply holds the pools that have instances to move out, in order of preference, and the spare pools.
type supply struct {
	donors []*pool
	spares []*pool
}

func newSupply(all []*pool) *supply {
	s := &supply{}
	for _, q := range all {
		if q.surplus > 0 && len(q.movable) > 0 {
			s.donors = append(s.donors, q)
		}
		if q.Declared.Spare {
			s.spares = append(s.spares, q)
		}
	}
	slices.SortStableFunc(s.donors, func(a, b *pool) int { return cmp.Or(spareLast(a, b), cmp.Compare(b.surplus, a.surplus)) })
	return s
}

// nextDonors returns the next pools to move instances out of. Non-spare pools with a surplus come first, which avoids a second
// move through a spare pool.
func (s *supply) nextDonors() []*pool {
	n := 0
	for n < min(len(s.donors), maxDonors) {
		if q := s.donors[n]; q.surplus > 0 && len(q.movable) > 0 {
			n++
		} else {
			s.donors = slices.Delete(s.donors, n, n+1)
		}
	}
	return s.donors[:n]
}

// chooseInstance returns the donor and the instance whose rack has the fewest of the recipient's instances, so that the loss of
// a rack removes as few as possible.
func chooseInstance(recipient *pool, donors []*pool) (*pool, Member) {
	var best *pool
	var chosen Member
	least := 0
	for _, d := range donors {
		for _, m := range d.movable {
			if m.Cordoned {
				continue
			}
			n := recipient.racks[budget.RackOf(m.Member)]
			if best == nil || cmp.Or(cmp.Compare(n, least), spareLast(d, best), cmp.Compare(m.InFlight, chosen.InFlight), cmp.Compare(m.ID, chosen.ID)) < 0 {
				best, chosen, least = d, m, n
			}
		}
	}
	return best, chosen
}

func spareLast(a, b *pool) int {
	switch {
	case a.Declared.Spare == b.Declared.Spare:
		return 0
	case b.Declared.Spare:
		return -1
	}
	return 1
}

// bookMove accounts for a move in the rest of the planning step.
func bookMove(from, to *pool, m Member) {
	from.surplus--
	from.movable = slices.DeleteFunc(from.movable, func(d Member) bool { return d.ID == m.ID })
	from.racks[budget.RackOf(m.Member)]--
	to.racks[budget.RackOf(m.Member)]++
	to.target.Size++
}

// returnSurplus moves surplus instances of a pool to the spare pool with the fewest instances.
func (p *Planner) returnSurplus(donor *pool, stock *supply) []Action {
	if donor.Declared.Spare || donor.surplus <= 0 {
		return nil
	}
	var actions []Action
	detail := fmt.Sprintf("demand %.0f slots, %.0f expected within %s, needs %d instances and has %d", donor.target.Level, donor.target.Expected, p.HoldTime, donor.target.High, donor.target.Size)
	for donor.surplus > 0 && len(donor.movable) > 0 {
		spare := smallestSpare(stock.spares)
		if spare == nil {
			return append(actions, Hold{Pool: donor.Declared.Name, Rule: "noSparePool", Detail: detail})
		}
		m := slices.MinFunc(donor.movable, func(a, b Member) int {
			return cmp.Or(cmp.Compare(donor.racks[budget.RackOf(b.Member)], donor.racks[budget.RackOf(a.Member)]), cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID))
		})
		bookMove(donor, spare, m)
		actions = append(actions, Move{Instance: m.ID, From: donor.Declared.Name, To: spare.Declared.Name, Rule: "surplus", Detail: detail})
	}
	return actions
}

func smallestSpare(spares []*pool) *pool {
	var best *pool
	for _, q := range spares {
		if q.Declared.Maximum > 0 && q.target.Size >= q.Declared.Maximum {
			continue
		}
		if best == nil || q.target.Size < best.target.Size {
			best = q
		}
	}
	return best
}
