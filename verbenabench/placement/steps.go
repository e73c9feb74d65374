package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	policy "verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
)

// stepSizes are the numbers of workers at which a planning step is timed.
var stepSizes = []int{8, 50, 500, 4300}

// stepRounds is the number of timed steps per size.
const stepRounds = 40

// stepResult is the time of one planning step in a full fleet. Fill is the longest time of the steps that fill the empty fleet.
type stepResult struct {
	Workers int           `json:"workers"`
	Median  time.Duration `json:"median"`
	Worst   time.Duration `json:"worst"`
	Fill    time.Duration `json:"fill"`
}

// timeSteps measures steps in which one job ends and one arrives for every worker, while about ten jobs per worker wait.
func timeSteps(n int, seed uint64) stepResult {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	f := &fleetModel{teams: map[string]platform.Resources{}}
	f.addLarge(n, max(1, n*197/4300))
	f.addTeams(int64(max(2, n*280/4300)))
	f.addKinds(r)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	d := newPolicyDriver(f, now)
	for _, w := range f.workers {
		d.workerUp(now, w)
	}
	serial := 0
	submit := func(count int) {
		for range count {
			class := declaration.Classes[[]int{0, 1, 1, 2, 2, 2}[r.IntN(6)]]
			j := f.drawJob(r, f.kindsOf(class), now.Add(-time.Duration(r.Int64N(int64(tickEvery)))))
			serial++
			j.ID = fmt.Sprintf("j%07d", serial)
			d.submit(now, j)
		}
	}
	submit(20 * n)
	var running []string
	step := func() time.Duration {
		before := time.Now()
		actions := d.tick(now)
		took := time.Since(before)
		for _, a := range actions {
			if s, ok := a.(policy.Start); ok {
				running = append(running, s.Job)
			}
		}
		return took
	}
	result := stepResult{Workers: n}
	for before := -1; before != len(running); now = now.Add(tickEvery) {
		before = len(running)
		result.Fill = max(result.Fill, step())
	}
	var times []time.Duration
	for range stepRounds {
		now = now.Add(tickEvery)
		for range min(n, len(running)) {
			i := r.IntN(len(running))
			d.collect(d.planner.Handle(now, policy.Ended{ID: running[i], Succeeded: true}))
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		submit(n)
		times = append(times, step())
	}
	slices.Sort(times)
	result.Median, result.Worst = times[len(times)/2], times[len(times)-1]
	return result
}

// slope returns the exponent with which the median step time grows between the two largest sizes, and that of n log n as its bound.
func slope(steps []stepResult) (got, bound float64) {
	a, b := steps[len(steps)-2], steps[len(steps)-1]
	x, y := float64(a.Workers), float64(b.Workers)
	got = math.Log(float64(b.Median)/float64(a.Median)) / math.Log(y/x)
	bound = math.Log(y*math.Log(y)/(x*math.Log(x))) / math.Log(y/x)
	return got, bound
}
