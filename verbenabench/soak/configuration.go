package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// extraQueues makes a configuration as large as that of an operator with many routes, about 50 kB.
	extraQueues = 250
	// linkRate is the rate of an answer of the store, in bytes per second.
	linkRate = 1_200_000
	// seriesInterval is the time between two configurations of a series.
	seriesInterval = 150 * time.Millisecond
	// minSeries is the shortest series; the answer with all its versions takes more than a second.
	minSeries = 4 * time.Second
	// An isolation lasts between minIsolation and maxIsolation: longer than removedLimit, after which an isolated process accepts no key.
	minIsolation = 8 * time.Second
	maxIsolation = 10 * time.Second
	// versionLimit is the time limit for the newest configuration to be in force on a process after the last fault: a node counts as undisturbed
	// after 3 s, and then has 2 s. A process may be starting again when the faults end.
	versionLimit = 5*time.Second + restartDelay
)

// missedConfigurations disconnects one process from the store during a series of configurations, and in a third of the draws from all other
// processes too.
func (s *Soak) missedConfigurations(random *rand.Rand) fault {
	p := s.processes[random.IntN(len(s.processes))]
	duration := minSeries + time.Duration(random.IntN(4000))*time.Millisecond
	name, proxies := "configurations without ", []*proxy{p.storeProxy}
	if random.IntN(3) == 0 {
		name, duration = "configurations without the isolated ", between(random, minIsolation, maxIsolation)
		proxies = append(proxies, slices.Collect(maps.Values(p.peerProxies))...)
		for _, other := range s.processes {
			if other != p {
				proxies = append(proxies, other.peerProxies[p])
			}
		}
	}
	setAll := func(m mode) {
		for _, w := range proxies {
			w.set(m)
		}
	}
	return fault{
		name: name + p.settings.Node, duration: duration, begin: func() { setAll(silent) }, end: func() { setAll(pass) },
		run: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, duration)
			defer cancel()
			for range interval.Each(ctx, seriesInterval) {
				s.configure()
			}
			return nil
		},
	}
}
