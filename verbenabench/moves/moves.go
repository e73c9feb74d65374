package moves

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/verbenabench/target"
)

const (
	// moveTime is the time in which a moving instance serves no pool: drain, change of pool and check.
	moveTime = 90 * time.Second
	// planEvery is the time between planning steps.
	planEvery = 30 * time.Second
	// largePlanEvery is the time between planning steps of the large fleet. It is longer, so that the simulation ends within minutes.
	largePlanEvery = 2 * time.Minute
	// days is the number of simulated days. The first learnDays are excluded from the comparison.
	days      = 7
	learnDays = 2
	// Targets from section 1.7 of the design.
	bufferTarget = 0.7
	movesTarget  = 0.25
)

// Benchmark compares the policies for moves in one deployment: cascade, tintaviva or large.
type Benchmark struct {
	Deployment string
	Seed       int64
	JSON       bool
	Out        io.Writer
}

// outcome holds the costs of a policy over the simulated days after learning.
type outcome struct {
	Policy string `json:"policy"`
	// Idle is the number of instance hours in guarded pools beyond those that the slow demand needs at the time.
	Idle float64 `json:"idleInstanceHours"`
	// MovesPerDay counts moves of single instances.
	MovesPerDay float64 `json:"movesPerDay"`
	// Unmet is the slow demand above the slots in service, in slot hours; UnmetBursts includes the bursts.
	Unmet       float64 `json:"unmetSlotHours"`
	UnmetBursts float64 `json:"unmetSlotHoursWithBursts"`
	// Uncovered is the share of pool hours in which the loss of a rack would leave slow demand unmet.
	Uncovered float64 `json:"uncoveredByRackLoss"`
	// FirstDays is the unmet slow demand in slot hours during the learnDays.
	FirstDays float64 `json:"unmetWhileLearning"`
}

type report struct {
	Deployment string    `json:"deployment"`
	Seed       int64     `json:"seed"`
	Outcomes   []outcome `json:"outcomes"`
	target.Measurement
	Verdicts target.Verdicts `json:"verdicts"`
}

// Run simulates all policies and prints the results. It stops early when the context ends.
func (b *Benchmark) Run(ctx context.Context) error {
	f, err := newFleet(b.Deployment)
	if err != nil {
		return err
	}
	r := report{Deployment: b.Deployment, Seed: b.Seed}
	for _, p := range []struct {
		name   string
		policy policy
	}{{"planned", &planned{planner: move.Planner{Interval: f.interval}}}, {"static peak sizing", static{}}, {"threshold rule", &threshold{recent: map[string][]float64{}}}} {
		o, err := run(ctx, f, p.policy, b.Seed)
		if err != nil {
			return err
		}
		o.Policy = p.name
		r.Outcomes = append(r.Outcomes, o)
	}
	if r.Measurement, err = target.Measure([]int{8, 50, 500, 4300}, newPlanningStep); err != nil {
		return err
	}
	r.addVerdicts()
	return b.print(r)
}

type pendingMove struct {
	completesAt time.Time
	member      move.Member
	to          string
}

// simulation holds the state of the pools and the moves in progress.
type simulation struct {
	fleet        fleet
	pools        []move.Pool
	byName       map[string]int
	pendingMoves []pendingMove
	outcome      outcome
	moves        int
}

func run(ctx context.Context, f fleet, p policy, seed int64) (outcome, error) {
	s := &simulation{fleet: f, pools: f.pools(), byName: map[string]int{}}
	for k, q := range s.pools {
		s.byName[q.Declared.Name] = k
	}
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	start := time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)
	for at := time.Duration(0); at < days*24*time.Hour; at += f.interval {
		now := start.Add(at)
		s.completeMoves(now)
		for _, src := range f.sources {
			sample := src.sample(at, random)
			p.observe(move.Sample{Pool: src.name, At: now, Slots: sample})
			s.addCosts(src, at, sample)
		}
		if at%f.planEvery == 0 {
			if ctx.Err() != nil {
				return s.outcome, ctx.Err()
			}
			s.startMoves(p.plan(now, s.pools), now, at)
		}
	}
	s.outcome.MovesPerDay = float64(s.moves) / (days - learnDays)
	s.outcome.Uncovered /= (days - learnDays) * 24 * float64(len(f.sources))
	return s.outcome, nil
}

// completeMoves completes the moves that are due.
func (s *simulation) completeMoves(now time.Time) {
	s.pendingMoves = slices.DeleteFunc(s.pendingMoves, func(a pendingMove) bool {
		if a.completesAt.After(now) {
			return false
		}
		p := &s.pools[s.byName[a.to]]
		p.Incoming = slices.DeleteFunc(p.Incoming, func(m move.Member) bool { return m.ID == a.member.ID })
		p.Members = append(p.Members, a.member)
		return true
	})
}

// startMoves starts the given moves.
func (s *simulation) startMoves(moves []move.Move, now time.Time, at time.Duration) {
	for _, m := range moves {
		from, to := &s.pools[s.byName[m.From]], &s.pools[s.byName[m.To]]
		k := slices.IndexFunc(from.Members, func(x move.Member) bool { return x.ID == m.Instance })
		if k < 0 {
			continue
		}
		member := from.Members[k]
		from.Members = slices.Delete(from.Members, k, k+1)
		member.Pool = m.To
		to.Incoming = append(to.Incoming, member)
		s.pendingMoves = append(s.pendingMoves, pendingMove{completesAt: now.Add(moveTime), member: member, to: m.To})
		if at >= learnDays*24*time.Hour {
			s.moves++
		}
	}
}

// addCosts adds the costs of one interval.
func (s *simulation) addCosts(src demandSource, at time.Duration, sample float64) {
	p := s.pools[s.byName[src.name]]
	hours := s.fleet.interval.Hours()
	slow := src.slowDemand(at)
	inService := float64(len(p.Members) * slots)
	if at < learnDays*24*time.Hour {
		s.outcome.FirstDays += math.Max(0, slow-inService) * hours
		return
	}
	needed := int(math.Ceil(slow / slots))
	s.outcome.Idle += float64(max(0, len(p.Members)+len(p.Incoming)-needed)) * hours
	s.outcome.Unmet += math.Max(0, slow-inService) * hours
	s.outcome.UnmetBursts += math.Max(0, sample-inService) * hours
	if float64((len(p.Members)-maxMembersPerRack(p))*slots) < slow {
		s.outcome.Uncovered += hours
	}
}

// newPlanningStep returns a planning step of a fleet with a number of workers.
func newPlanningStep(workers int) func(int) {
	n := max(2, workers*197/4300)
	f := fleet{dataCentres: min(11, n), racks: max(4, workers/4/11)}
	for k := range n {
		f.declared = append(f.declared, declaration.Pool{Name: fmt.Sprintf("pool%03d", k), Instances: workers / n, Slots: slots, Minimum: 1, Maximum: workers, Spare: k%10 == 1})
	}
	p := &planned{}
	pools := f.pools()
	start := time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)
	for k, q := range pools {
		for m := range 30 {
			p.observe(move.Sample{Pool: q.Declared.Name, At: start.Add(time.Duration(m) * interval), Slots: float64(len(q.Members)*slots) * float64((k+3)%4) / 3})
		}
	}
	return func(k int) { p.plan(start.Add(2*time.Hour+time.Duration(k)*planEvery), pools) }
}

func (r *report) addVerdicts() {
	planned, static, threshold := r.Outcomes[0], r.Outcomes[1], r.Outcomes[2]
	r.Verdicts.Add("unmet slow demand no more than with static peak sizing", planned.Unmet <= static.Unmet, fmt.Sprintf("%.2f of %.2f slot hours", planned.Unmet, static.Unmet))
	r.Verdicts.Add("30% less buffer cost than static peak sizing", planned.Idle <= bufferTarget*static.Idle, fmt.Sprintf("%.2f", planned.Idle/static.Idle))
	r.Verdicts.Add("at most a quarter of the moves of the threshold rule", planned.MovesPerDay <= movesTarget*threshold.MovesPerDay, fmt.Sprintf("%.3f", planned.MovesPerDay/threshold.MovesPerDay))
	r.Verdicts.Add("the loss of a rack is covered as often as with static peak sizing", planned.Uncovered <= static.Uncovered, fmt.Sprintf("%.4f of %.4f uncovered", planned.Uncovered, static.Uncovered))
	r.Verdicts.AddSteps(r.Measurement)
}

func (b *Benchmark) print(r report) error {
	if b.JSON {
		return json.NewEncoder(b.Out).Encode(r)
	}
	w := tabwriter.NewWriter(b.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "moves %s, seed %d, %d days after %d of learning\n", r.Deployment, r.Seed, days-learnDays, learnDays)
	fmt.Fprintln(w, "policy\tidle instance hours\tmoves a day\tunmet slot hours\twith bursts\tuncovered by a rack loss\tunmet while learning")
	for _, o := range r.Outcomes {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.2f\t%.0f\t%.4f\t%.2f\n", o.Policy, o.Idle, o.MovesPerDay, o.Unmet, o.UnmetBursts, o.Uncovered, o.FirstDays)
	}
	target.Print(w, r.Steps, r.Verdicts)
	return w.Flush()
}
