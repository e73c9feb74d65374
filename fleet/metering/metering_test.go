package metering_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"verbenalanding.example/fleet/metering"
)

var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// arrive has a meter count arrivals at an even rate for a time, and returns how many were within the rate.
func arrive(m *metering.Meter, from time.Time, rate float64, d time.Duration) int {
	owed := 0
	for i := range int(rate * d.Seconds()) {
		if m.Arrive(from.Add(time.Duration(float64(i) / rate * float64(time.Second)))) {
			owed++
		}
	}
	return owed
}

func checkBetween(t *testing.T, what string, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %d, want %d to %d", what, got, low, high)
	}
}

// Guards against a workspace that gets more, or less, of what it is owed because it sends more.
func TestArrivalsBeyondTheRateAreToldApart(t *testing.T) {
	const rate, seconds = 10, 20
	for name, sent := range map[string]float64{"half of its rate": 5, "its rate": 10, "eight times its rate": 80} {
		t.Run(name, func(t *testing.T) {
			m := metering.Meter{Rate: rate}
			got := arrive(&m, epoch, sent, seconds*time.Second)
			want := min(int(sent), rate) * seconds
			checkBetween(t, "arrivals within the rate", got, want, want+rate)
		})
	}
	t.Run("no rate", func(t *testing.T) {
		m := metering.Meter{}
		checkBetween(t, "arrivals within the rate", arrive(&m, epoch, 5, time.Second), 0, 0)
	})
	t.Run("less than one a second", func(t *testing.T) {
		m := metering.Meter{Rate: 0.2}
		checkBetween(t, "arrivals within the rate", arrive(&m, epoch, 1, 50*time.Second), 9, 11)
	})
}

// Guards against a question that uses up what the workspace is owed.
func TestBeyondCountsNothing(t *testing.T) {
	m := metering.Meter{Rate: 1}
	for range 5 {
		if m.Beyond(epoch) {
			t.Fatal("first arrival: got beyond the rate, want within")
		}
	}
	m.Arrive(epoch)
	if !m.Beyond(epoch) {
		t.Error("second arrival at once: got within the rate, want beyond")
	}
}

// exchange has pools tell their arrivals to the home of the workspace.
func exchange(sums *metering.Sums, meters map[string]*metering.Meter, now time.Time) {
	for range 2 {
		for pool, m := range meters {
			for _, total := range sums.Add(pool, []metering.Count{{Workspace: "a", Arrivals: m.Recent(now)}}, now) {
				m.SetTotal(total.Arrivals, total.Own, now)
			}
		}
	}
}

// Guards against a workspace that is owed its rate at each pool, or that loses it when its demand moves from one pool to another. Each pool assumes that
// it is the only one until it is told of the others, which is half a second of the twenty.
func TestRateIsDividedAmongPools(t *testing.T) {
	const rate = 20
	for name, course := range map[string]struct {
		sent map[string]float64
		// moved is what the workspace sends from the middle on.
		moved     map[string]float64
		low, high float64
	}{
		"equal demand":              {map[string]float64{"p": 40, "q": 40}, map[string]float64{"p": 40, "q": 40}, 0.95, 1.15},
		"demand of one pool":        {map[string]float64{"p": 80, "q": 0}, map[string]float64{"p": 80, "q": 0}, 0.95, 1.15},
		"demand that moves":         {map[string]float64{"p": 76, "q": 4}, map[string]float64{"p": 4, "q": 76}, 0.9, 1.35},
		"less than it is owed":      {map[string]float64{"p": 10, "q": 8}, map[string]float64{"p": 8, "q": 10}, 0.88, 0.92},
		"five pools, eight times":   {map[string]float64{"p": 32, "q": 32, "r": 32, "s": 32, "u": 32}, map[string]float64{"p": 32, "q": 32, "r": 32, "s": 32, "u": 32}, 0.95, 1.3},
		"turns to a pool it avoids": {map[string]float64{"p": 60, "q": 0}, map[string]float64{"p": 0, "q": 60}, 0.9, 1.35},
	} {
		t.Run(name, func(t *testing.T) {
			const seconds = 20
			meters, owed := map[string]*metering.Meter{}, 0
			for pool := range course.sent {
				meters[pool] = &metering.Meter{Rate: rate}
			}
			var sums metering.Sums
			for half := range 2 * seconds {
				now := epoch.Add(time.Duration(half) * 500 * time.Millisecond)
				exchange(&sums, meters, now)
				sent := course.sent
				if half >= seconds {
					sent = course.moved
				}
				for pool, m := range meters {
					owed += arrive(m, now, sent[pool], 500*time.Millisecond)
				}
			}
			got := float64(owed) / (rate * seconds)
			if got < course.low || got > course.high {
				t.Errorf("arrivals within the rate: got %.2f of it, want %.2f to %.2f", got, course.low, course.high)
			}
		})
	}
}

// Guards against a workspace that gets less than it is owed once the node is lost that adds up its arrivals: the pools then assume more, not less.
func TestLostHomeLeavesEachPoolTheWholeRate(t *testing.T) {
	m := metering.Meter{Rate: 10}
	m.Arrive(epoch)
	m.SetTotal(50, 1, epoch)
	if got := m.Share(epoch); got > 0.1 {
		t.Errorf("share beside other pools: got %.2f, want at most 0.1", got)
	}
	if got := m.Share(epoch.Add(3 * time.Second)); got != 1 {
		t.Errorf("share without an answer for 3 s: got %.2f, want 1", got)
	}
}

// Guards against homes of which pools have different views, and against one node that adds up all.
func TestHomesAreAgreedAndSpread(t *testing.T) {
	pools := []string{"a", "b", "c", "d", "e"}
	reversed := []string{"e", "d", "c", "b", "a"}
	counts := map[string]int{}
	const workspaces = 280
	for i := range workspaces {
		name := fmt.Sprint("w", i)
		home := metering.Home(name, pools)
		counts[home]++
		if other := metering.Home(name, reversed); other != home {
			t.Fatalf("home of %s: got %s and %s, want the same", name, home, other)
		}
	}
	for pool, n := range counts {
		if float64(n) > 2*workspaces/float64(len(pools)) {
			t.Errorf("workspaces of the home %s: got %d, want at most twice the mean", pool, n)
		}
	}
	if got := metering.Home("w", nil); got != "" {
		t.Errorf("home without pools: got %q, want none", got)
	}
}

// Guards against a record with a time that no clock shows and that ends the process.
func TestArrivalsOfAnyTimeAreCounted(t *testing.T) {
	m := metering.Meter{Rate: 10}
	for _, at := range []time.Time{{}, time.Date(1815, 1, 1, 0, 0, 0, 0, time.UTC), epoch} {
		m.Arrive(at)
	}
	if got := m.Recent(epoch); got != 1 {
		t.Errorf("recent arrivals: got %v, want 1", got)
	}
}

// Guards against counts of pools that no longer tell anything, and against counts that another version has sent as negative.
func TestSumsForgetSilentPools(t *testing.T) {
	var sums metering.Sums
	sums.Add("p", []metering.Count{{Workspace: "a", Arrivals: 30}}, epoch)
	sums.Add("r", []metering.Count{{Workspace: "a", Arrivals: -5}}, epoch)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{time.Second, 40}, {5 * time.Second, 10}} {
		totals := sums.Add("q", []metering.Count{{Workspace: "a", Arrivals: 10}}, epoch.Add(c.after))
		if len(totals) != 1 || math.Abs(totals[0].Arrivals-c.want) > 1e-9 || totals[0].Own != 10 {
			t.Errorf("totals after %v: got %+v, want %v of which 10 own", c.after, totals, c.want)
		}
	}
}
