package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/internal/check"
)

// TestSlotDivision guards against entry instances that together use more slots than the pool has, leave some unused, or use
// the same slot of an instance, after they have received the same demand.
func TestSlotDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		entries, instances := rapid.IntRange(1, 9).Draw(t, "entries"), rapid.IntRange(2, 12).Draw(t, "instances")
		config := Config{Services: []Service{{Name: "a", Share: 50}, {Name: "b", Class: Deferrable, Share: 20}}}
		var pools []*Pool
		var members []Member
		for i := range instances {
			members = append(members, Member{ID: fmt.Sprintf("i%02d", i), Slots: 8, InService: true})
		}
		for i := range entries {
			p := (&Pool{Self: fmt.Sprintf("e%d", i)}).Default()
			p.Configure(now, config)
			p.SetMembers(now, members)
			var ids []string
			for k := range entries {
				ids = append(ids, fmt.Sprintf("e%d", k))
			}
			p.SetPeers(now, ids)
			pools = append(pools, p)
		}
		for i, p := range pools {
			for k := range p.services {
				p.services[k].demand = rapid.Float64Range(0, 200).Draw(t, "demand")
			}
			sent := p.Demand(nil)
			for k, other := range pools {
				if k != i {
					other.PeerDemand(now, p.Self, sent)
					other.PeerHeartbeat(now, p.Self)
				}
			}
		}
		sum, quotas := 0, map[string]int{}
		for _, p := range pools {
			p.Tick(now)
			sum += p.Limit()
			for _, m := range members {
				quotas[m.ID] += p.Quota(m.ID)
			}
		}
		// The sum of the limits exceeds that of the quotas by limitExtension and by rounding at each entry instance.
		if limit := limitExtension*float64(8*instances) + 0.5*float64(entries); sum < 8*instances || float64(sum) > limit {
			t.Fatalf("sum of limits: got %d, want %d to %.1f", sum, 8*instances, limit)
		}
		for id, n := range quotas {
			if n != 8 {
				t.Fatalf("sum of quotas of %s: got %d, want 8", id, n)
			}
		}
	})
}

// TestStalePeer guards against using the slots of a peer that is unresponsive but may still be serving.
func TestStalePeer(t *testing.T) {
	now := time.Unix(0, 0)
	p := (&Pool{Self: "a"}).Default()
	p.Configure(now, Config{Services: []Service{{Name: "s"}}})
	p.SetMembers(now, []Member{{ID: "i", Slots: 10, InService: true}})
	p.SetPeers(now, []string{"b"})
	check.Equal(t, "quota before the first heartbeat", p.Quota("i"), 5)
	p.services[0].demand = 4
	p.Demand(nil)
	p.PeerDemand(now, "b", []ServiceDemand{{Service: "s", Slots: 16}})
	p.Tick(now)
	check.Equal(t, "quota with demand 4 of 20", p.Quota("i"), 2)
	now = now.Add(time.Minute)
	p.services[0].demand = 16
	p.Demand(nil)
	p.Tick(now)
	check.Equal(t, "quota while the peer is unresponsive", p.Quota("i"), 2)
	p.SetPeers(now, nil)
	check.Equal(t, "quota after the peer's membership ended", p.Quota("i"), 10)
}

// TestGuaranteedShare guards against a service that gets less than its share while it has waiting requests, whatever its
// class and however small its share of this entry instance's slots is.
func TestGuaranteedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		p := (&Pool{Self: "a"}).Default()
		slots := rapid.IntRange(2, 16).Draw(t, "slots")
		var services []Service
		times := map[string]time.Duration{}
		for i := range rapid.IntRange(2, 3).Draw(t, "services") {
			name := fmt.Sprintf("s%d", i)
			services = append(services, Service{Name: name, Class: Class(i), Share: rapid.IntRange(5, 30).Draw(t, "share")})
			times[name] = time.Duration(rapid.IntRange(10, 400).Draw(t, "time")) * time.Millisecond
		}
		p.Configure(start, Config{Services: services})
		p.SetMembers(start, []Member{{ID: "i", Slots: slots, InService: true}})
		used := saturate(p, start, services, times)
		for _, s := range services {
			share := float64(s.Share) / 100 * float64(slots) * (30 * time.Second).Seconds()
			// Whole requests are counted, and the next one may begin just after the end of the measurement.
			if got := used[s.Name]; got < 0.95*share-times[s.Name].Seconds() {
				t.Fatalf("slot seconds of %s: got %.1f, want at least 0.95 of %.1f", s.Name, got, share)
			}
		}
	})
}

// saturate keeps every queue filled for 40 s and returns the slot seconds that each service used in the last 30 s.
func saturate(p *Pool, start time.Time, services []Service, times map[string]time.Duration) map[string]float64 {
	type end struct {
		at      time.Time
		ref     Ref
		service string
	}
	var running []end
	names, used := map[uint64]string{}, map[string]float64{}
	id := uint64(0)
	now := start
	apply := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Dispatch {
				running = append(running, end{now.Add(times[names[a.ID]]), a.Ref, names[a.ID]})
				if now.Sub(start) >= 10*time.Second {
					used[names[a.ID]] += times[names[a.ID]].Seconds()
				}
			}
		}
	}
	for ; now.Sub(start) < 40*time.Second; now = now.Add(5 * time.Millisecond) {
		for i := 0; i < len(running); i++ {
			if e := running[i]; !now.Before(e.at) {
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
				i--
				p.Completed(now, Completion{Ref: e.ref, Instance: "i", Took: times[e.service]})
				apply(p.SlotFreed(now, e.ref))
			}
		}
		for _, s := range services {
			for range 20 {
				if p.Queued(s.Name) > 20 {
					break
				}
				id++
				names[id] = s.Name
				_, actions := p.Arrive(now, Arrival{ID: id, Service: s.Name, Deadline: now.Add(time.Minute)})
				apply(actions)
			}
		}
		if now.Sub(start)%TickInterval == 0 {
			apply(p.Tick(now))
		}
	}
	return used
}

// TestRateLimits guards against callers and teams that exceed their rates, and against limits that outlive the configuration.
func TestRateLimits(t *testing.T) {
	now := time.Unix(0, 0)
	p := (&Pool{Self: "a"}).Default()
	p.SetMembers(now, []Member{{ID: "i", Slots: 1000, InService: true}})
	p.Configure(now, Config{Services: []Service{{Name: "s", CallerRate: 5}}, Teams: []Team{{Key: 7, Rate: 20}}})
	accepted := func(a Arrival) int {
		n := 0
		for range 100 {
			a.Service, a.Deadline = "s", now.Add(time.Minute)
			if ref, _ := p.Arrive(now, a); ref != 0 {
				n++
			}
		}
		return n
	}
	check.Equal(t, "accepted of one caller", accepted(Arrival{Caller: 1}), 5)
	check.Equal(t, "accepted of another caller", accepted(Arrival{Caller: 2}), 5)
	check.Equal(t, "accepted of a team", accepted(Arrival{Team: 7}), 20)
	now = now.Add(200 * time.Millisecond)
	check.Equal(t, "accepted of one caller after 200 ms", accepted(Arrival{Caller: 1}), 1)
	p.Configure(now, Config{Services: []Service{{Name: "s"}}})
	check.Equal(t, "accepted of one caller without a limit", accepted(Arrival{Caller: 1}), 100)
}

// TestUnreachableDeadline guards against accepting requests that will miss their deadlines by the learned service time,
// and against refusing requests by a declared time that is wrong by a factor of 10.
func TestUnreachableDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	p := (&Pool{Self: "a"}).Default()
	p.Configure(now, Config{Services: []Service{{Name: "s", Expected: 10 * time.Second}}})
	p.SetMembers(now, []Member{{ID: "i", Slots: 1, InService: true}})
	for range 20 {
		ref, _ := p.Arrive(now, Arrival{Service: "s", Deadline: now.Add(2 * time.Second)})
		check.True(t, "accepted despite the declared time", ref != 0)
		now = now.Add(time.Second)
		p.Completed(now, Completion{Ref: ref, Instance: "i", Took: time.Second})
		p.SlotFreed(now, ref)
		p.Tick(now)
	}
	p.Arrive(now, Arrival{Service: "s", Deadline: now.Add(2 * time.Second)})
	_, actions := p.Arrive(now, Arrival{Service: "s", Deadline: now.Add(500 * time.Millisecond)})
	check.Equal(t, "actions", len(actions), 1)
	check.Equal(t, "reason", actions[0].Reason, DeadlineUnreachable)
}

// TestAdaptiveLimit guards against sending the declared number of requests to a backend server that slows down, rejects or
// times out, against limits that stay low after it has recovered, and against a returned instance that starts with the
// lowered limit.
func TestAdaptiveLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		took   time.Duration
	}{{"slow", Succeeded, 200 * time.Millisecond}, {"rejecting", Rejected, time.Millisecond}, {"timing out", TimedOut, time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			p := (&Pool{Self: "a"}).Default()
			p.Configure(now, Config{Services: []Service{{Name: "s"}}})
			members := []Member{{ID: "a", Slots: 8, InService: true}, {ID: "b", Slots: 8, InService: true}}
			p.SetMembers(now, members)
			run := func(d time.Duration, result Result, took time.Duration) {
				for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
					for _, id := range []string{"a", "b"} {
						ref, _ := p.Arrive(now, Arrival{Service: "s", Deadline: now.Add(time.Minute)})
						p.Started(now, ref, id)
						completion := Completion{Ref: ref, Instance: id, Took: 50 * time.Millisecond}
						if id == "b" {
							completion.Result, completion.Took = result, took
						}
						p.Completed(now, completion)
						p.SlotFreed(now, ref)
					}
					if now.Sub(time.Unix(0, 0))%TickInterval == 0 {
						p.Tick(now)
					}
				}
			}
			run(5*time.Second, Succeeded, 50*time.Millisecond)
			check.Equal(t, "quota before", p.Quota("b"), 8)
			run(5*time.Second, c.result, c.took)
			if got := p.Quota("b"); got > 4 {
				t.Errorf("quota after 5 s: got %d, want at most 4 of 8", got)
			}
			check.Equal(t, "quota of the other instance", p.Quota("a"), 8)
			lowered := p.Quota("b")
			run(5*time.Second, Succeeded, 50*time.Millisecond)
			check.Equal(t, "quota 5 s after its recovery", p.Quota("b"), 8)
			run(5*time.Second, c.result, c.took)
			members[1].InService = false
			p.SetMembers(now, members)
			members[1].InService = true
			p.SetMembers(now, members)
			check.Equal(t, "quota after leaving and returning", p.Quota("b"), 8)
			check.True(t, "limit had fallen", lowered < 8)
		})
	}
}
