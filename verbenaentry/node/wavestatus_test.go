package node

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// newWaveFixture returns the holder of the first pool, which has just taken the duty over, and a wave of two machines. The list of machines is
// answered by the given function.
func newWaveFixture(t *testing.T, list http.HandlerFunc) (*takeoverFixture, workload.Wave) {
	t.Helper()
	s := newTakeoverFixture(t)
	n := s.pool.node
	n.Registry, n.View = metrics.NewRegistry(), &View{waves: map[string]workload.Wave{}}
	n.View.currentRoutes.Store(newRoutes(&workload.Configuration{Pools: []workload.PoolSettings{{Name: "cutting"}}}))
	n.Machines = &platform.Machines{Client: platform.NewClient(), Addr: serve(t, list)}
	s.pool.machines, s.pool.upkeeps = newMachineTracker(s.pool), newUpkeeps(s.pool)
	w := workload.Wave{ID: "7", Machines: []string{"m0", "m1"}, Within: 10 * time.Second, MaxDown: 1}
	n.View.waves[w.ID] = w
	return s, w
}

// markDone applies the store's records of finished upkeeps, as a successor reads them.
func (s *takeoverFixture) markDone(w workload.Wave, machines ...string) {
	var events []store.Event
	for _, m := range machines {
		events = append(events, store.Event{Entry: store.Entry{Key: doneKey(w.ID, m)}})
	}
	s.pool.upkeeps.apply(events, false)
}

func (s *takeoverFixture) assertWaveStatus(w workload.Wave, completed bool) {
	s.t.Helper()
	want, err := platform.EncodeWaveStatus(w, completed)
	if err != nil {
		s.t.Fatalf("encode status: got %v, want none", err)
	}
	page, err := s.pool.node.Store.List(s.ctx, statusKey(w.ID), "", 0)
	if err != nil || len(page.Entries) != 1 {
		s.t.Fatalf("status of the wave: got %v and %v, want one entry", page.Entries, err)
	}
	if got := page.Entries[0].Value; string(got) != string(want) {
		s.t.Errorf("status of the wave: got %s, want %s", got, want)
	}
}

// Guards against a wave that is not reported as completed in time: the holder that writes its status was lost after the last machine was
// back, and its successor asked for the list of machines first, which was slow or not available.
func TestStatusOfAWaveThatIsDoneNeedsNoListOfMachines(t *testing.T) {
	var lists atomic.Int64
	for name, list := range map[string]http.HandlerFunc{
		"list fails":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"list is unanswered": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			lists.Store(0)
			s, w := newWaveFixture(t, func(rw http.ResponseWriter, r *http.Request) {
				lists.Add(1)
				list(rw, r)
			})
			s.markDone(w, "m0", "m1")
			s.pool.upkeeps.processWave(s.ctx, w)
			s.assertWaveStatus(w, true)
			if got := lists.Load(); got != 0 {
				t.Errorf("lists of machines requested: got %d, want 0", got)
			}
		})
	}
}

// Guards against a wave that is reported as completed although the upkeep of a machine is not known to be done.
func TestStatusOfAWaveThatIsNotDone(t *testing.T) {
	s, w := newWaveFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s.markDone(w, "m0")
	s.pool.upkeeps.processWave(s.ctx, w)
	s.assertWaveStatus(w, false)
}

// Guards against a wave that is reported as completed while one of its slots is reserved.
func TestStatusOfAWaveWithAReservedSlot(t *testing.T) {
	s, w := newWaveFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s.markDone(w, "m0", "m1")
	s.pool.upkeeps.apply([]store.Event{{Entry: store.Entry{Key: slotKey(w.ID, 0), Value: []byte(`{"machine":"m1","pool":"other"}`)}}}, false)
	s.pool.upkeeps.processWave(s.ctx, w)
	s.assertWaveStatus(w, false)
}

// Guards against a successor that waits for the time of a whole upkeep, until it says that a machine is done which was back before its
// holder was lost.
func TestRepeatedUpkeepOrderThatChangedNothingIsFinished(t *testing.T) {
	ordered := time.Unix(1_790_000_000, 0)
	up := workload.Machine{ID: "m0", State: workload.MachineUp, Worker: "w1"}
	for _, c := range []struct {
		name      string
		repeated  string
		machine   workload.Machine
		listedAge time.Duration
		want      bool
	}{
		{"the machine is up with the same worker", "w1", up, listLag, true},
		{"the list may lag behind the order", "w1", up, listLag - time.Millisecond, false},
		{"the machine has another worker", "w0", up, listLag, false},
		{"the machine is in upkeep", "w1", workload.Machine{ID: "m0", State: workload.MachineUpkeep, Worker: "w1"}, listLag, false},
		{"the machine is not listed", "w1", workload.Machine{}, listLag, false},
		{"the order was the first one", "", up, listLag, false},
		{"the machine had no worker", "", workload.Machine{ID: "m0", State: workload.MachineUp}, listLag, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := reservedSlot{slot: slot{Machine: "m0", Worker: "w0"}, orderedAt: ordered, repeatedOn: c.repeated}
			if got := s.carriedOutBefore(ordered.Add(c.listedAge), c.machine); got != c.want {
				t.Errorf("upkeep was carried out before: got %v, want %v", got, c.want)
			}
		})
	}
}
