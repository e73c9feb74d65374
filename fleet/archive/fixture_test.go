package archive

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

var (
	begin     = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	errKilled = errors.New("process was killed")
)

// testingT holds the methods that testing.T and rapid.T share.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// faultyStore is the store as one process reaches it, with faults.
type faultyStore struct {
	store.Store
	down, loseAnswer bool
	// delayWrite queues the next write instead of applying it and returns store.ErrUnavailable.
	delayWrite    bool
	delayedWrites []func()
	// From call killAt on, all calls fail. Before call pauseAt, onPause runs. 0 disables either.
	calls, killAt, pauseAt int
	onPause                func()
}

func (s *faultyStore) call(write func() error) error {
	s.calls++
	if s.killAt > 0 && s.calls >= s.killAt {
		return errKilled
	}
	if s.calls == s.pauseAt {
		s.onPause()
	}
	if s.down {
		return store.ErrUnavailable
	}
	if write != nil && s.delayWrite {
		s.delayWrite, s.delayedWrites = false, append(s.delayedWrites, func() { _ = write() })
		return store.ErrUnavailable
	}
	var err error
	if write != nil {
		err = write()
	}
	if s.loseAnswer && write != nil {
		s.loseAnswer = false
		return store.ErrUnavailable
	}
	return err
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.call(nil); err != nil {
		return store.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := s.call(nil); err != nil {
		return store.Page{}, err
	}
	return s.Store.List(ctx, prefix, from, limit)
}

func (s *faultyStore) Put(_ context.Context, r store.PutRequest) (store.Revision, error) {
	var revision store.Revision
	err := s.call(func() (err error) {
		revision, err = s.Store.Put(context.Background(), r)
		return err
	})
	return revision, err
}

func (s *faultyStore) Delete(_ context.Context, key string, expect store.Revision) error {
	return s.call(func() error { return s.Store.Delete(context.Background(), key, expect) })
}

// process is the writer of an entry instance.
type process struct {
	*Writer
	store *faultyStore
	// unflushed is the number of requests counted since the start of the last flush that left no backlog.
	unflushed uint64
}

// fixture holds a store, the processes that write to it and the holder's epoch, with a common clock.
type fixture struct {
	now       time.Time
	window    time.Duration
	store     *standin.Store
	processes []*process
	epoch     record.Epoch
	sessions  int
	// counted holds the counts that the report must show: all except those that killed processes had not written.
	counted map[string]uint64
}

func newFixture(processes int) *fixture {
	f := &fixture{now: begin, window: 10000 * time.Hour, store: standin.NewStore(), epoch: 1, counted: map[string]uint64{}}
	for range processes {
		f.startProcess()
	}
	return f
}

func (f *fixture) clock() time.Time { return f.now }

func (f *fixture) startProcess() *process {
	f.sessions++
	p := &process{store: &faultyStore{Store: f.store}}
	p.Writer = &Writer{Store: p.store, Session: fmt.Sprintf("e%d", f.sessions), Now: f.clock}
	f.processes = append(f.processes, p)
	return p
}

func cellKey(service string, at time.Time, bad bool) string {
	return fmt.Sprintf("%s %d %t", service, hourOf(at), bad)
}

func (f *fixture) count(p *process, service string, good, refused uint64) {
	f.countAt(p, f.now, service, good, refused)
}

func (f *fixture) countAt(p *process, at time.Time, service string, good, refused uint64) {
	c := burn.Counts{Good: good}
	c.AddBad(burn.Refused, refused)
	p.Count(at, service, c)
	p.unflushed += c.Total()
	f.counted[cellKey(service, at, false)] += good
	f.counted[cellKey(service, at, true)] += refused
}

func (p *process) flush() error {
	before, backlog := p.unflushed, len(p.Pending()) > hoursPerFlush
	err := p.Flush(context.Background())
	if err == nil && !backlog {
		p.unflushed -= before
	}
	return err
}

func (f *fixture) merger(s *faultyStore, epoch record.Epoch) *Merger {
	return &Merger{Store: s, Epoch: epoch, Now: f.clock, Window: func() time.Duration { return f.window }}
}

func (f *fixture) sweep() error {
	return f.merger(&faultyStore{Store: f.store}, f.epoch).Sweep(context.Background())
}

// read returns the counts that a report shows, with the pending counts of the given processes.
func (f *fixture) read(t testingT, s store.Store, processes []*process) map[string]uint64 {
	t.Helper()
	var pending []Pending
	for _, p := range processes {
		pending = append(pending, p.Pending()...)
	}
	counts := map[string]uint64{}
	err := Read(context.Background(), s, pending, func(service string, at time.Time, _ time.Duration, c burn.Counts) {
		counts[cellKey(service, at, false)] += c.Good
		counts[cellKey(service, at, true)] += c.TotalBad()
	})
	if err != nil {
		t.Fatalf("read: got %v, want none", err)
	}
	return counts
}

// check fails the test if the report differs from f.counted.
func (f *fixture) check(t testingT, name string) {
	t.Helper()
	f.checkVia(t, name, f.store)
}

// checkVia is check with a report that reads from the given store.
func (f *fixture) checkVia(t testingT, name string, s store.Store) {
	t.Helper()
	if got, want := nonZero(f.read(t, s, f.processes)), nonZero(f.counted); !maps.Equal(got, want) {
		t.Fatalf("%s: got %v, want %v", name, got, want)
	}
}

func nonZero(cells map[string]uint64) map[string]uint64 {
	counted := map[string]uint64{}
	for k, n := range cells {
		if n > 0 {
			counted[k] = n
		}
	}
	return counted
}

// kill removes a process and returns the number of requests whose counts are lost with it.
func (f *fixture) kill(t testingT, i int) uint64 {
	t.Helper()
	var survivors []*process
	for j, p := range f.processes {
		if j != i {
			survivors = append(survivors, p)
		}
	}
	remaining := f.read(t, f.store, survivors)
	var lost uint64
	for k, n := range f.counted {
		lost += n - remaining[k]
	}
	f.counted, f.processes = remaining, survivors
	return lost
}

func (f *fixture) revisions(t *testing.T) map[string]store.Revision {
	t.Helper()
	entries, _, err := store.ListAll(context.Background(), f.store, record.ArchivePrefix)
	check.NoError(t, err)
	keys := map[string]store.Revision{}
	for _, e := range entries {
		keys[e.Key] = e.Revision
	}
	return keys
}

func (f *fixture) countKeys(t *testing.T, prefix string) int {
	t.Helper()
	n := 0
	for key := range f.revisions(t) {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// writeFinishedHour lets each process count and write in one hour, and advances the clock until the hour may be merged.
func writeFinishedHour(t *testing.T, f *fixture) {
	t.Helper()
	for n, p := range f.processes {
		f.count(p, "sizeMatch", 10, uint64(n))
		check.NoError(t, p.flush())
	}
	f.now = f.now.Add(time.Hour + hourMergeDelay)
}
