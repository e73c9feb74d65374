package assignment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"
)

// ErrDeployment is returned for an unknown deployment.
var ErrDeployment = errors.New("unknown deployment")

// Assignment runs the comparison with the service mix of one deployment.
type Assignment struct {
	// Deployment is cascade or tintaviva.
	Deployment string
	Seed       int64
	JSON       bool
	Out        io.Writer
}

// stream is a source of requests with exponential interarrival times. Service times are exponential, or Pareto with the shape alpha if
// alpha is set.
type stream struct {
	name     string
	mean     time.Duration
	alpha    float64
	deadline time.Duration
	// share is the stream's share of the load.
	share float64
	// minServiceTime is the shortest service time in seconds if alpha is set.
	minServiceTime float64
}

// mixes holds the services of each deployment, a short interactive one and a long heavy-tailed one, each split into the streams of teams.
var mixes = map[string][]stream{
	"cascade":   mix(stream{name: "sizeMatch", mean: 80 * time.Millisecond, deadline: 2 * time.Second, share: 0.4}, stream{name: "patternRecut", mean: 2 * time.Second, alpha: 1.6, deadline: 30 * time.Second, share: 0.6}),
	"tintaviva": mix(stream{name: "quickCheck", mean: 60 * time.Millisecond, deadline: 2 * time.Second, share: 0.4}, stream{name: "tonerForecast", mean: 3 * time.Second, alpha: 1.4, deadline: 60 * time.Second, share: 0.6}),
}

const (
	instances = 9
	slots     = 8
	servers   = instances * slots
	streams   = 60
	// maxMeanFactor is the upper bound of Pareto service times in multiples of the mean. Without a bound the second moment is infinite.
	maxMeanFactor = 200.0
	simulatedTime = 2000 * time.Second
	warmupTime    = 200 * time.Second
)

// mix splits two services into streams with different rates.
func mix(services ...stream) []stream {
	var out []stream
	for _, s := range services {
		if s.alpha > 0 {
			s.minServiceTime = s.solveMinServiceTime()
		}
		sum := 0.0
		for i := range streams {
			sum += relativeRate(i)
		}
		for i := range streams {
			part := s
			part.share *= relativeRate(i) / sum
			out = append(out, part)
		}
	}
	return out
}

// relativeRate returns the relative rate of a service's stream. The largest stream is four times as large as the smallest.
func relativeRate(i int) float64 { return 1 + 3*float64(i)/(streams-1) }

// drawServiceTime returns a service time in seconds.
func (s stream) drawServiceTime(r *rand.Rand) float64 {
	mean := s.mean.Seconds()
	if s.alpha == 0 {
		return mean * r.ExpFloat64()
	}
	return min(s.minServiceTime/math.Pow(1-r.Float64(), 1/s.alpha), mean*maxMeanFactor)
}

// solveMinServiceTime returns the shortest service time with which the bounded Pareto distribution has the stream's mean.
func (s stream) solveMinServiceTime() float64 {
	mean, high := s.mean.Seconds(), s.mean.Seconds()*maxMeanFactor
	a, b := mean/1000, mean
	for range 60 {
		l := (a + b) / 2
		// The probability mass beyond the bound is assigned to the bound.
		m := s.alpha/(s.alpha-1)*(l-math.Pow(l, s.alpha)*math.Pow(high, 1-s.alpha)) + high*math.Pow(l/high, s.alpha)
		if m < mean {
			a = l
		} else {
			b = l
		}
	}
	return a
}

// moments returns the first two moments of the service time.
func (s stream) moments() (float64, float64) {
	mean := s.mean.Seconds()
	if s.alpha == 0 {
		return mean, 2 * mean * mean
	}
	l, h := s.minServiceTime, mean*maxMeanFactor
	second := s.alpha/(2-s.alpha)*math.Pow(l, s.alpha)*(math.Pow(h, 2-s.alpha)-math.Pow(l, 2-s.alpha)) + h*h*math.Pow(l/h, s.alpha)
	return mean, second
}

// streamPart is the part of a stream that is assigned to a server.
type streamPart struct {
	server int
	share  float64
}

// assignInOrder assigns equal loads to all servers by filling one after the other with the streams in the given order. A stream that exceeds
// the free capacity of a server continues on the next one.
func assignInOrder(all []stream, order []int, n int) [][]streamPart {
	out := make([][]streamPart, len(all))
	size := 1 / float64(n)
	server, capacity := 0, size
	for _, k := range order {
		remaining := all[k].share
		for remaining > 1e-12 {
			assigned := min(remaining, capacity)
			out[k] = append(out[k], streamPart{server, assigned / all[k].share})
			remaining -= assigned
			if capacity -= assigned; capacity < 1e-12 && server < n-1 {
				server, capacity = server+1, size
			}
		}
	}
	return out
}

// orderByVariance returns the order of streams in the paper, which is by the second moment of the service time divided by the first.
func orderByVariance(all []stream) []int {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		m1, s1 := all[a].moments()
		m2, s2 := all[b].moments()
		switch {
		case s1/m1 < s2/m2:
			return -1
		case s1/m1 > s2/m2:
			return 1
		}
		return 0
	})
	return order
}

// Row holds the figures of one service under one assignment at one load. Times are in milliseconds.
type Row struct {
	Load       float64 `json:"load"`
	Assignment string  `json:"assignment"`
	Service    string  `json:"service"`
	Requests   int     `json:"requests"`
	MeanWait   float64 `json:"meanWait"`
	P99Wait    float64 `json:"p99Wait"`
	// Late is the probability that the wait exceeds the deadline.
	Late float64 `json:"late"`
}

// Report is the output of a run.
type Report struct {
	Deployment     string `json:"deployment"`
	Seed           int64  `json:"seed"`
	Rows           []Row  `json:"rows"`
	Recommendation string `json:"recommendation"`
}

// Run measures and prints the report. It returns ErrDeployment, the context's error, or an error of the writer.
func (a *Assignment) Run(ctx context.Context) error {
	all, ok := mixes[a.Deployment]
	if !ok {
		return fmt.Errorf("assignment %q: %w", a.Deployment, ErrDeployment)
	}
	r := Report{Deployment: a.Deployment, Seed: a.Seed}
	for _, load := range []float64{0.5, 0.7, 0.9} {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("assignment at load %v: %w", load, err)
		}
		r.Rows = append(r.Rows, a.compare(all, load)...)
	}
	r.Recommendation = recommend(r.Rows)
	if a.JSON {
		if err := json.NewEncoder(a.Out).Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	return r.print(a.Out)
}

// compare runs the same requests under all assignments. It maps the paper's servers both to slots, which serve one request at a time, and
// to instances, whose slots share a queue.
func (a *Assignment) compare(all []stream, load float64) []Row {
	random := rand.New(rand.NewPCG(uint64(a.Seed), 1))
	requests := drawRequests(all, load, random)
	var out []Row
	for _, c := range []struct {
		name string
		run  func() []float64
	}{
		{"slots by variance", func() []float64 {
			return serveSeparately(requests, assignInOrder(all, orderByVariance(all), servers), servers, random)
		}},
		{"instances by variance", func() []float64 {
			return serveSeparately(requests, assignInOrder(all, orderByVariance(all), instances), instances, random)
		}},
		{"slots at random", func() []float64 {
			return serveSeparately(requests, assignInOrder(all, random.Perm(len(all)), servers), servers, random)
		}},
		{"instances at random", func() []float64 {
			return serveSeparately(requests, assignInOrder(all, random.Perm(len(all)), instances), instances, random)
		}},
		{"shared dispatch", func() []float64 { return serveShared(requests, servers, func(request) bool { return true }) }},
		{"shared, short first", func() []float64 {
			return serveShared(requests, servers, func(q request) bool { return q.deadline <= 2*time.Second })
		}},
	} {
		out = append(out, summarize(requests, c.run(), load, c.name)...)
	}
	return out
}

// summarize computes the figures of each service.
func summarize(requests []request, waits []float64, load float64, name string) []Row {
	byService := map[string][]float64{}
	late := map[string]int{}
	var names []string
	for i, q := range requests {
		if q.arrival < warmupTime.Seconds() {
			continue
		}
		if _, ok := byService[q.name]; !ok {
			names = append(names, q.name)
		}
		byService[q.name] = append(byService[q.name], waits[i])
		if waits[i] > q.deadline.Seconds() {
			late[q.name]++
		}
	}
	slices.Sort(names)
	var out []Row
	for _, n := range names {
		w := byService[n]
		slices.Sort(w)
		sum := 0.0
		for _, wait := range w {
			sum += wait
		}
		out = append(out, Row{
			Load: load, Assignment: name, Service: n, Requests: len(w), MeanWait: 1000 * sum / float64(len(w)),
			P99Wait: 1000 * w[len(w)*99/100], Late: float64(late[n]) / float64(len(w)),
		})
	}
	return out
}

// recommend compares the p99 waits of the services under the paper's assignment with those under shared dispatch, short first, and
// recommends the paper's assignment if it has the lower wait in most cases.
func recommend(rows []Row) string {
	better, worse := 0, 0
	for _, r := range rows {
		if r.Assignment != "slots by variance" && r.Assignment != "instances by variance" {
			continue
		}
		for _, s := range rows {
			if s.Assignment != "shared, short first" || s.Load != r.Load || s.Service != r.Service {
				continue
			}
			if r.P99Wait < s.P99Wait {
				better++
			} else if r.P99Wait > s.P99Wait {
				worse++
			}
		}
	}
	if better > worse {
		return fmt.Sprintf("adopt: the p99 wait is lower in %d of %d cases than with shared dispatch, short first", better, better+worse)
	}
	return fmt.Sprintf("leave out: the p99 wait is higher in %d of %d cases than with shared dispatch, short first", worse, better+worse)
}

func (r Report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d\n", r.Deployment, r.Seed)
	fmt.Fprintln(w, "load\tassignment\tservice\trequests\tmean wait ms\tp99 wait ms\tlate\t")
	for _, o := range r.Rows {
		fmt.Fprintf(w, "%.1f\t%s\t%s\t%d\t%.1f\t%.1f\t%.5f\t\n", o.Load, o.Assignment, o.Service, o.Requests, o.MeanWait, o.P99Wait, o.Late)
	}
	fmt.Fprintf(w, "recommendation: %s\n", r.Recommendation)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
