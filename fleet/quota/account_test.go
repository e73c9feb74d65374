package quota_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

var epoch = time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)

func cpu(n int64) workload.Resources { return workload.Resources{CPU: n} }

// fixture drives the accounts of several pools on a store that applies each write at once.
type fixture struct {
	now      time.Time
	accounts map[string]*quota.Account
	usage    map[string]quota.Usage
	record   quota.Record
	revision uint64
	writes   int
}

func newFixture(limit int64, pools ...string) *fixture {
	f := &fixture{now: epoch, accounts: map[string]*quota.Account{}, usage: map[string]quota.Usage{}}
	for _, p := range pools {
		f.accounts[p] = quota.NewAccount(p)
		f.accounts[p].SetLimit(1, cpu(limit))
		f.accounts[p].Observe(quota.Record{}, 0, f.now)
	}
	return f
}

// run decides for a time, each 50 ms, the pools in the given order; runs of a pool that are short start as far as its allowance permits.
func (f *fixture) run(d time.Duration, pools ...string) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for _, p := range pools {
			a := f.accounts[p]
			if c, ok := a.Decide(f.usage[p], f.now); ok {
				f.record, f.revision = c.Record, f.revision+1
				f.writes++
				for _, other := range f.accounts {
					other.Observe(f.record, f.revision, f.now)
				}
			}
			u := f.usage[p]
			room := max(0, a.Allowance().Amount.CPU-u.Known.CPU)
			started := min(room, u.Short.CPU)
			u.Known.CPU += started
			u.Short.CPU -= started
			f.usage[p] = u
		}
	}
}

func (f *fixture) known(pool string) int64 { return f.usage[pool].Known.CPU }

// Guards against a limit that a pool with all of the demand can use in part only, or late.
func TestDemandInOnePoolGetsTheLimit(t *testing.T) {
	f := newFixture(100, "a", "b", "c")
	f.usage["a"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.run(2*time.Second, "a", "b", "c")
	check.Equal(t, "what runs in the pool", f.known("a"), 100)
}

// Guards against a grant that stays with a pool whose demand has moved to another one.
func TestGrantsFollowTheDemand(t *testing.T) {
	f := newFixture(100, "a", "b", "c")
	f.usage["a"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.run(2*time.Second, "a", "b", "c")
	f.usage["a"], f.usage["b"] = quota.Usage{}, quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.run(2*time.Second, "a", "b", "c")
	check.Equal(t, "what runs in the second pool", f.known("b"), 100)
}

// Guards against a pool that keeps all of a limit which others could use too, and against writes without end while all want more.
func TestShortLimitIsDividedEqually(t *testing.T) {
	f := newFixture(90, "a", "b", "c")
	f.usage["a"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.run(2*time.Second, "a", "b", "c")
	f.usage["b"], f.usage["c"] = f.usage["a"], f.usage["a"]
	f.usage["b"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.usage["c"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	for range 100 {
		// Runs of the first pool end one after the other, and further ones are short.
		f.usage["a"] = quota.Usage{Known: cpu(f.known("a") - 1), Short: cpu(500), Least: cpu(1)}
		f.run(50*time.Millisecond, "a", "b", "c")
	}
	for _, p := range []string{"a", "b", "c"} {
		if got := f.accounts[p].Share().Grant.CPU; got < 27 || got > 33 {
			t.Errorf("grant of pool %s: got %d, want 30 by a tenth", p, got)
		}
	}
	writes := f.writes
	f.run(10*time.Second, "a", "b", "c")
	if got := f.writes - writes; got > 5 {
		t.Errorf("writes of 10 s in which nothing changes: got %d, want 5 at most", got)
	}
}

// Guards against a lowered limit above which tasks still start, and against a pool that gives up what its runs occupy.
func TestLoweredLimitStartsNothingAbove(t *testing.T) {
	f := newFixture(100, "a", "b")
	f.usage["a"], f.usage["b"] = quota.Usage{Short: cpu(60), Least: cpu(1)}, quota.Usage{Short: cpu(60), Least: cpu(1)}
	f.run(3*time.Second, "a", "b")
	a, b := f.known("a"), f.known("b")
	check.Equal(t, "what runs", a+b, 100)
	for _, account := range f.accounts {
		account.SetLimit(2, cpu(50))
	}
	f.run(time.Second, "a", "b")
	check.Equal(t, "what runs under the lower limit", f.known("a")+f.known("b"), 100)
	for range 200 {
		for _, p := range []string{"a", "b"} {
			u := f.usage[p]
			u.Known.CPU = max(0, u.Known.CPU-1)
			u.Short = cpu(60)
			f.usage[p] = u
		}
		before := f.known("a") + f.known("b")
		f.run(50*time.Millisecond, "a", "b")
		if got := f.known("a") + f.known("b"); got > max(before, 50) {
			t.Fatalf("what runs: got %d after %d, want no start above 50", got, before)
		}
	}
	if got := f.known("a") + f.known("b"); got < 45 {
		t.Errorf("what runs in the end: got %d, want 45 or more", got)
	}
}

// Guards against a task that is larger than its workspace's limit and never starts, and against others that start beside it.
func TestTaskLargerThanTheLimitRunsAlone(t *testing.T) {
	f := newFixture(100, "a", "b")
	f.usage["b"] = quota.Usage{Short: cpu(500), Least: cpu(1)}
	f.run(2*time.Second, "a", "b")
	f.usage["a"] = quota.Usage{Short: cpu(130), Least: cpu(130)}
	for range 200 {
		u := f.usage["b"]
		f.usage["b"] = quota.Usage{Known: cpu(max(0, u.Known.CPU-1)), Short: cpu(500), Least: cpu(1)}
		f.run(50*time.Millisecond, "a", "b")
		if f.accounts["a"].Allowance().Alone.CPU >= 130 {
			break
		}
	}
	check.Equal(t, "allowance of the task", f.accounts["a"].Allowance().Alone.CPU, 130)
	check.Equal(t, "allowance beside it", f.accounts["b"].Allowance().Amount.CPU, 0)
	f.usage["a"] = quota.Usage{}
	f.run(2*time.Second, "a", "b")
	check.Equal(t, "what runs once it has ended", f.known("b"), 100)
}

// Guards against grants beside runs that began while the workspace had no limit.
func TestRunsFromBeforeTheLimitCount(t *testing.T) {
	f := newFixture(100, "a", "b")
	f.usage["a"], f.usage["b"] = quota.Usage{Known: cpu(80)}, quota.Usage{Short: cpu(100), Least: cpu(1)}
	f.run(3*time.Second, "b", "a")
	check.Equal(t, "what runs in the other pool", f.known("b"), 20)
}

// Guards against a workspace whose tasks never start again after an operator has deleted its record, and against runs that do not count then.
func TestDeletedRecordIsWrittenAgain(t *testing.T) {
	f := newFixture(100, "a", "b")
	f.usage["a"] = quota.Usage{Short: cpu(60), Least: cpu(1)}
	f.run(2*time.Second, "a", "b")
	for _, a := range f.accounts {
		a.Observe(quota.Record{}, 0, f.now)
	}
	check.Equal(t, "allowance without a record", f.accounts["a"].Allowance().Amount.CPU, 0)
	f.usage["b"] = quota.Usage{Short: cpu(100), Least: cpu(1)}
	f.run(3*time.Second, "b", "a")
	check.Equal(t, "what runs", f.known("a")+f.known("b"), 100)
}
