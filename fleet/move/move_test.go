package move

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
)

var start = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

func testPool(name string, spare bool, racks ...int) Pool {
	p := Pool{Declared: declaration.Pool{Name: name, Slots: 8, Spare: spare, Minimum: 1}}
	for k, r := range racks {
		p.Members = append(p.Members, member(fmt.Sprintf("%s%d", name, k), name, r))
	}
	return p
}

func member(id, pool string, rack int) Member {
	return Member{Member: budget.Member{ID: id, Pool: pool, Location: platform.Location{Rack: fmt.Sprint(rack)}}, InService: true}
}

// observe adds samples of a demand every 10 s and returns the time after the last.
func observe(p *Planner, from time.Time, n int, slots float64) time.Time {
	for range n {
		p.Observe(Sample{Pool: "desk", At: from, Slots: slots})
		from = from.Add(10 * time.Second)
	}
	return from
}

func moves(actions []Action) []Move {
	var list []Move
	for _, a := range actions {
		if m, ok := a.(Move); ok {
			list = append(list, m)
		}
	}
	return list
}

// Guards against moves in response to bursts of a few seconds, which admission control handles.
func TestBurstsCauseNoMoves(t *testing.T) {
	p := &Planner{}
	now := observe(p, start, 40, 12)
	now = observe(p, now, 6, 60)
	pools := []Pool{testPool("desk", false, 1, 2, 3), testPool("spare", true, 4, 5, 6)}
	check.Equal(t, "moves in a burst", len(moves(p.Plan(now, pools))), 0)
	for range 60 {
		p.Observe(Sample{Pool: "desk", At: now, Slots: 60})
		now = now.Add(time.Second)
	}
	check.Equal(t, "moves in a burst sampled every second", len(moves(p.Plan(now, pools))), 0)
	now = observe(p, now, 40, 60)
	check.Equal(t, "moves after demand has risen", len(moves(p.Plan(now, pools))) > 0, true)
}

// Guards against moves by a new holder that has only a few samples, all of which may be from a burst.
func TestFewSamplesCauseNoMoves(t *testing.T) {
	p := &Planner{}
	now := observe(p, start, 5, 60)
	pools := []Pool{testPool("desk", false, 1, 2, 3), testPool("spare", true, 4, 5, 6)}
	check.Equal(t, "moves", len(moves(p.Plan(now, pools))), 0)
}

// Guards against the choice of a spare instance in a rack that the pool already uses: the loss of that rack would remove more
// instances than planned for.
func TestMoveAvoidsRacksOfRecipient(t *testing.T) {
	p := &Planner{}
	now := observe(p, start, 40, 20)
	pools := []Pool{testPool("desk", false, 1, 2, 3), testPool("spare", true, 1, 2, 7, 3)}
	got := moves(p.Plan(now, pools))
	check.Equal(t, "moves", len(got), 1)
	check.Equal(t, "instance", got[0].Instance, "spare2")
}

// Guards against instances that move back and forth: a surplus must last, and no instance is moved out while others are
// incoming. Without the second rule a pool was emptied in the benchmark (cascade, seed 1, hour 98.9).
func TestSurplusMustLastBeforeMoves(t *testing.T) {
	p := &Planner{}
	now := observe(p, start, 40, 8)
	pools := []Pool{testPool("desk", false, 1, 2, 3, 4, 5), testPool("spare", true, 6)}
	check.Equal(t, "moves immediately", len(moves(p.Plan(now, pools))), 0)
	later := observe(p, now, 7*60, 8)
	pools[0].Incoming = []Member{member("x", "desk", 9)}
	check.Equal(t, "moves while others are incoming", len(moves(p.Plan(later, pools))), 0)
	pools[0].Incoming = nil
	check.Equal(t, "first plan with a surplus", len(moves(p.Plan(later, pools))), 0)
	later = observe(p, later, 7*60, 8)
	check.Equal(t, "moves after an hour", len(moves(p.Plan(later, pools))), 3)
}

// Guards against moves that begin only after demand has risen, although it rose at the same time in earlier periods.
func TestForecastMovesAhead(t *testing.T) {
	p := &Planner{Period: 2 * time.Hour}
	now := start
	for range 2 {
		now = observe(p, now, 360, 8)
		now = observe(p, now, 360, 40)
	}
	now = observe(p, now, 340, 8)
	pools := []Pool{testPool("desk", false, 1, 2), testPool("spare", true, 3, 4, 5, 6, 7, 8)}
	check.Equal(t, "moves ahead", len(moves(p.Plan(now, pools))) >= 4, true)
}
