package maintenance

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// fault is the fault injected into the next write of a holder.
type fault int

const (
	noFault fault = iota
	// A write with lostRequest is not applied, one with lostAnswer is applied, and one with lateWrite may be applied at a later
	// time; all return store.ErrUnavailable.
	lostRequest
	lostAnswer
	lateWrite
)

// holder is a process that holds one duty. Each of its calls to the store or the platform blocks until advance is called, so
// that a test can pause, resume or kill it before any call.
type holder struct {
	fleet     *fleetFuzz
	duty      string
	epoch     record.Epoch
	step      func(context.Context, time.Time) error
	tookOver  func() bool
	steps     errgroup.Group
	waiting   chan struct{}
	proceed   chan struct{}
	done      chan error
	active    bool
	killed    bool
	fenced    bool
	nextFault fault
	// writesAtStart is the number of store writes when the current step began.
	writesAtStart int
}

// now is the holder's clock; the clocks of two holders differ by up to 2 s.
func (h *holder) now() time.Time {
	return h.fleet.now.Add(time.Duration(h.epoch%3)*time.Second - time.Second)
}

func (h *holder) waitForAdvance() error {
	if !h.killed {
		h.waiting <- struct{}{}
		<-h.proceed
	}
	if h.killed {
		return store.ErrUnavailable
	}
	return nil
}

// advance runs the holder up to its next call and reports whether a step ended.
func (h *holder) advance() bool {
	if h.fenced || h.killed && !h.active {
		return true
	}
	if !h.active {
		h.active, h.writesAtStart = true, h.fleet.writes
		now := h.now()
		h.steps.Go(func() error {
			h.done <- h.step(context.Background(), now)
			return nil
		})
	} else {
		h.proceed <- struct{}{}
	}
	ended := false
	select {
	case <-h.waiting:
	case err := <-h.done:
		h.active, h.fenced, ended = false, isFenced(err), true
	}
	h.fleet.checkInterruptions()
	return ended
}

func (h *holder) finish() {
	for range 10_000 {
		if h.advance() {
			return
		}
	}
	h.fleet.t.Fatalf("%s: step did not end after 10,000 calls", h.duty)
}

func (h *holder) kill() {
	h.killed = true
	if h.active {
		h.finish()
	}
}

// gatedStore is one holder's access to the store; each call waits for advance, and writes are subject to nextFault.
type gatedStore struct {
	store.Store
	holder *holder
}

func (g gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return store.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g gatedStore) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return store.Page{}, err
	}
	return g.Store.List(ctx, prefix, from, limit)
}

func (g gatedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return store.Batch{}, err
	}
	return g.Store.Watch(ctx, prefix, after, wait)
}

func (g gatedStore) Put(_ context.Context, r store.PutRequest) (store.Revision, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return 0, err
	}
	injected := g.holder.nextFault
	g.holder.nextFault = noFault
	switch injected {
	case lostRequest:
		return 0, store.ErrUnavailable
	case lateWrite:
		g.holder.fleet.lateWrites = append(g.holder.fleet.lateWrites, unansweredWrite{holder: g.holder, request: r, writesAtStart: g.holder.writesAtStart})
		return 0, store.ErrUnavailable
	case lostAnswer:
		_, _ = g.holder.fleet.put(g.holder, r, g.holder.writesAtStart)
		return 0, store.ErrUnavailable
	}
	return g.holder.fleet.put(g.holder, r, g.holder.writesAtStart)
}

func (g gatedStore) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := g.holder.waitForAdvance(); err != nil {
		return err
	}
	if err := g.Store.Delete(ctx, key, expect); err != nil {
		return err
	}
	g.holder.fleet.recordDeleted(key)
	return nil
}

// gatedControl is one holder's access to the platform; each call waits for advance.
type gatedControl struct {
	platform.Control
	holder *holder
}

func (g gatedControl) List(ctx context.Context, after uint64) (platform.Listing, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return platform.Listing{}, err
	}
	return g.Control.List(ctx, after)
}

func (g gatedControl) InFlight(ctx context.Context, id string) (int, error) {
	if err := g.holder.waitForAdvance(); err != nil {
		return 0, err
	}
	return g.Control.InFlight(ctx, id)
}

func (g gatedControl) Reboot(ctx context.Context, id, commandID string) error {
	if err := g.holder.waitForAdvance(); err != nil {
		return err
	}
	g.holder.fleet.checkCommand(g.holder, id, commandID, "rebooting")
	return g.Control.Reboot(ctx, id, commandID)
}

func (g gatedControl) Retire(ctx context.Context, id, commandID string) error {
	if err := g.holder.waitForAdvance(); err != nil {
		return err
	}
	g.holder.fleet.checkCommand(g.holder, id, commandID, "stopping")
	return g.Control.Retire(ctx, id, commandID)
}

// unansweredWrite is a write that was reported as unanswered and takes effect later if its expected revision still matches.
type unansweredWrite struct {
	holder        *holder
	request       store.PutRequest
	writesAtStart int
}

// put applies a write to the store and checks it against the oracle.
func (f *fleetFuzz) put(h *holder, r store.PutRequest, writesAtStart int) (store.Revision, error) {
	revision, err := f.store.Put(context.Background(), r)
	if err != nil {
		return revision, err
	}
	f.writes++
	f.checkFenced(h, r)
	if id, ok := strings.CutPrefix(r.Key, record.InstancePrefix); ok {
		var i record.Instance
		if err := json.Unmarshal(r.Value, &i); err != nil {
			f.violate("%s: %v", r.Key, err)
		}
		f.checkInstance(h, id, i, writesAtStart)
		f.records[id] = i
	}
	return revision, nil
}
