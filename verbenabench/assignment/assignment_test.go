package assignment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against assignments with unequal loads on servers, which would invalidate the comparison.
func TestServersHaveEqualLoads(t *testing.T) {
	for name, all := range mixes {
		var load [servers]float64
		for k, parts := range assignInOrder(all, orderByVariance(all), servers) {
			for _, s := range parts {
				load[s.server] += s.share * all[k].share
			}
		}
		for i, got := range load {
			if want := 1.0 / servers; math.Abs(got-want) > 1e-9 {
				t.Errorf("%s: load of server %d: got %v, want %v", name, i, got, want)
			}
		}
	}
}

// Guards against computed moments, by which streams are ordered, that differ from those of the random service times.
func TestMomentsMatchServiceTimes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, s := range []stream{mixes["cascade"][0], mixes["cascade"][streams]} {
		mean, second := s.moments()
		sum, squares := 0.0, 0.0
		const n = 4000000
		for range n {
			serviceTime := s.drawServiceTime(r)
			sum += serviceTime
			squares += serviceTime * serviceTime
		}
		if got := sum / n / mean; math.Abs(got-1) > 0.02 {
			t.Errorf("%s: mean drawn: got %v of the computed one, want 1", s.name, got)
		}
		if got := squares / n / second; math.Abs(got-1) > 0.1 {
			t.Errorf("%s: second moment drawn: got %v of the computed one, want 1", s.name, got)
		}
	}
}

// Guards against a shared queue in which requests wait while a server is free. A single server must have the mean wait of an M/M/1 queue.
func TestWaitsMatchQueueingTheory(t *testing.T) {
	s := mixes["cascade"][0]
	s.share = 1.0 / servers
	requests := drawRequests([]stream{s}, 0.5, rand.New(rand.NewPCG(1, 2)))
	waits := serveSeparately(requests, [][]streamPart{{{0, 1}}}, servers, rand.New(rand.NewPCG(1, 3)))
	sum := 0.0
	for _, w := range waits {
		sum += w
	}
	if got, want := sum/float64(len(waits)), s.mean.Seconds(); math.Abs(got/want-1) > 0.15 {
		t.Errorf("mean wait at half load: got %v, want %v", got, want)
	}
	for i, w := range serveShared(requests, servers, func(request) bool { return true }) {
		if w != 0 {
			t.Fatalf("wait of request %d with 72 servers for a load of half a server: got %v, want 0", i, w)
		}
	}
}

// Guards against a report without a recommendation, and against accepting an unknown deployment.
func TestRunRecommendsAnAssignment(t *testing.T) {
	var out bytes.Buffer
	if err := (&Assignment{Deployment: "cascade", Seed: 1, Out: &out}).Run(context.Background()); err != nil {
		t.Fatalf("error: got %v, want none", err)
	}
	if got := out.String(); !strings.Contains(got, "recommendation: ") {
		t.Errorf("report: got %s, want a recommendation", got)
	}
	if err := (&Assignment{Deployment: "x", Out: &out}).Run(context.Background()); !errors.Is(err, ErrDeployment) {
		t.Errorf("error: got %v, want %v", err, ErrDeployment)
	}
}
