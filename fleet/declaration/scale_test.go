package declaration_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

// scaledSet returns a set with the given number of pools, each with two services, a budget and a wave, and a proportional
// number of teams.
func scaledSet(pools int) declaration.Set {
	s := declaration.Set{
		Pools: map[string]declaration.Pool{}, Services: map[string]declaration.Service{}, Teams: map[string]declaration.Team{},
		Budgets: map[string]declaration.Budget{}, Waves: map[string]declaration.Wave{}, Objectives: map[string]declaration.Objective{},
	}
	for i := range pools {
		pool := fmt.Sprintf("pool%d", i)
		s.Pools[pool] = declaration.Pool{Name: pool, Instances: 22, Minimum: 16, Maximum: 30, Slots: 8, Connections: 64, MilliCores: 64_000, MemoryBytes: 128e9}
		for j := range 2 {
			name := fmt.Sprintf("service%d-%d", i, j)
			s.Services[name] = declaration.Service{Name: name, Pool: pool, Class: declaration.Standard, Deadline: 5 * time.Second, Share: 40, MaxRequest: 1e6, MaxAnswer: 1e6}
			s.Objectives[name] = declaration.Objective{Name: name, Service: name, Target: 0.999, Within: time.Second, Window: 24 * time.Hour}
		}
		scope := declaration.Scope{Pools: []string{pool}}
		s.Budgets[pool] = declaration.Budget{Name: pool, Scope: scope, MaxUnavailable: 3}
		s.Waves[pool] = declaration.Wave{Name: pool, Scope: scope, Every: 21 * 24 * time.Hour, From: 20 * time.Hour, Until: 5 * time.Hour, RebootTime: 6 * time.Minute}
	}
	for i := range pools * 280 / 197 {
		team := fmt.Sprintf("team%d", i)
		s.Teams[team] = declaration.Team{Name: team, MilliCores: 64_000, MemoryBytes: 64e9}
	}
	return s
}

// BenchmarkSet measures the cost of a change with up to 197 pools, the number that is expected in two years.
func BenchmarkSet(b *testing.B) {
	for _, pools := range []int{20, 66, 197} {
		s := scaledSet(pools)
		check.NoError(b, declaration.Validate(s))
		text := declaration.Export(s)
		b.Run(fmt.Sprintf("validate/%d", pools), func(b *testing.B) {
			for b.Loop() {
				check.NoError(b, declaration.Validate(s))
			}
		})
		b.Run(fmt.Sprintf("parse/%d", pools), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				_, err := declaration.Parse(declaration.File{Name: "export", Text: text})
				check.NoError(b, err)
			}
		})
		b.Run(fmt.Sprintf("export/%d", pools), func(b *testing.B) {
			for b.Loop() {
				declaration.Export(s)
			}
		})
	}
}
