package admission

import (
	"fmt"
	"testing"
	"time"
)

// overload drives an overloaded pool, so that the queue and the refusals are exercised.
type overload struct {
	pool    *Pool
	now     time.Time
	id      uint64
	running []Ref
}

func newOverload(instances int) *overload {
	d := &overload{pool: (&Pool{Self: "a"}).Default(), now: time.Unix(0, 0)}
	d.pool.Configure(d.now, Config{Services: []Service{
		{Name: "urgent", Share: 50, CallerRate: 1e6}, {Name: "deferrable", Class: Deferrable, Share: 20},
	}})
	var members []Member
	for i := range instances {
		members = append(members, Member{ID: fmt.Sprintf("i%d", i), Slots: 8, InService: true})
	}
	d.pool.SetMembers(d.now, members)
	for range 20*instances + 20000 {
		d.step()
	}
	return d
}

func (d *overload) step() {
	d.id++
	d.now = d.now.Add(50 * time.Microsecond)
	name := "urgent"
	if d.id%3 == 0 {
		name = "deferrable"
	}
	_, actions := d.pool.Arrive(d.now, Arrival{ID: d.id, Service: name, Caller: d.id % 1000, Deadline: d.now.Add(time.Second)})
	d.start(actions)
	if len(d.running) >= d.pool.Limit() && d.id%2 == 0 {
		// The last element replaces the removed one, so that the cost of the test itself does not depend on the size.
		k := int(d.id*7) % len(d.running)
		ref := d.running[k]
		d.running[k] = d.running[len(d.running)-1]
		d.running = d.running[:len(d.running)-1]
		d.pool.Completed(d.now, Completion{Ref: ref, Instance: "i1", Took: 5 * time.Millisecond})
		d.start(d.pool.SlotFreed(d.now, ref))
	}
}

func (d *overload) start(actions []Action) {
	first := len(d.running)
	for _, a := range actions {
		if a.Kind == Dispatch {
			d.running = append(d.running, a.Ref)
		}
	}
	for _, ref := range d.running[first:] {
		d.pool.Started(d.now, ref, "i1")
	}
}

// TestAllocations guards against allocations in a decision, which would make latency depend on the garbage collector.
func TestAllocations(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		d := newOverload(n)
		if got := testing.AllocsPerRun(5000, d.step); got != 0 {
			t.Errorf("allocations of a decision at %d instances: got %v, want 0", n, got)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newOverload(n)
			b.ReportAllocs()
			for b.Loop() {
				d.step()
			}
		})
	}
}
