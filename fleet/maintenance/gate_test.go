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
	// lostRequest is not applied, lostAnswer is applied, lateWrite is applied at some later time; all return
	// store.ErrUnavailable.
	lostRequest
	lostAnswer
	lateWrite
)

// holder is a process that holds one duty. Each of its calls to the store or platform blocks until advance, so that a test
// can pause, resume or kill it before any call.
type holder struct {
	f       *fleetFuzz
	duty    string
	epoch   record.Epoch
	step    func(context.Context, time.Time) error
	took    func() bool
	group   errgroup.Group
	waiting chan struct{}
	proceed chan struct{}
	done    chan error
	active  bool
	killed  bool
	fenced  bool
	next    fault
	// began is the number of store writes when the current step began.
	began int
}

// now is the holder's clock; the clocks of two holders differ by up to 2 s.
func (h *holder) now() time.Time {
	return h.f.now.Add(time.Duration(h.epoch%3)*time.Second - time.Second)
}

func (h *holder) wait() error {
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
		h.active, h.began = true, h.f.writes
		now := h.now()
		h.group.Go(func() error {
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
	h.f.checkCuts()
	return ended
}

func (h *holder) finish() {
	for range 10_000 {
		if h.advance() {
			return
		}
	}
	h.f.t.Fatalf("%s: step did not end after 10,000 calls", h.duty)
}

func (h *holder) kill() {
	h.killed = true
	if h.active {
		h.finish()
	}
}

// gatedStore is the store as one holder sees it.
type gatedStore struct {
	store.Store
	h *holder
}

func (g gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := g.h.wait(); err != nil {
		return store.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g gatedStore) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := g.h.wait(); err != nil {
		return store.Page{}, err
	}
	return g.Store.List(ctx, prefix, from, limit)
}

func (g gatedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if err := g.h.wait(); err != nil {
		return store.Batch{}, err
	}
	return g.Store.Watch(ctx, prefix, after, wait)
}

func (g gatedStore) Put(_ context.Context, r store.PutRequest) (store.Revision, error) {
	if err := g.h.wait(); err != nil {
		return 0, err
	}
	f := g.h.next
	g.h.next = noFault
	switch f {
	case lostRequest:
		return 0, store.ErrUnavailable
	case lateWrite:
		g.h.f.late = append(g.h.f.late, lateRequest{h: g.h, r: r, began: g.h.began})
		return 0, store.ErrUnavailable
	case lostAnswer:
		_, _ = g.h.f.put(g.h, r, g.h.began)
		return 0, store.ErrUnavailable
	}
	return g.h.f.put(g.h, r, g.h.began)
}

func (g gatedStore) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := g.h.wait(); err != nil {
		return err
	}
	if err := g.Store.Delete(ctx, key, expect); err != nil {
		return err
	}
	g.h.f.recordDeleted(key)
	return nil
}

// gatedControl is the platform as one holder sees it.
type gatedControl struct {
	platform.Control
	h *holder
}

func (g gatedControl) List(ctx context.Context, after uint64) (platform.Listing, error) {
	if err := g.h.wait(); err != nil {
		return platform.Listing{}, err
	}
	return g.Control.List(ctx, after)
}

func (g gatedControl) InFlight(ctx context.Context, id string) (int, error) {
	if err := g.h.wait(); err != nil {
		return 0, err
	}
	return g.Control.InFlight(ctx, id)
}

func (g gatedControl) Reboot(ctx context.Context, id, commandID string) error {
	if err := g.h.wait(); err != nil {
		return err
	}
	g.h.f.checkCommand(g.h, id, commandID, "rebooting")
	return g.Control.Reboot(ctx, id, commandID)
}

func (g gatedControl) Retire(ctx context.Context, id, commandID string) error {
	if err := g.h.wait(); err != nil {
		return err
	}
	g.h.f.checkCommand(g.h, id, commandID, "stopping")
	return g.Control.Retire(ctx, id, commandID)
}

// lateRequest is an unanswered write that takes effect later if its revision still matches.
type lateRequest struct {
	h     *holder
	r     store.PutRequest
	began int
}

// put applies a write to the store and checks it against the oracle.
func (f *fleetFuzz) put(h *holder, r store.PutRequest, began int) (store.Revision, error) {
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
		f.checkInstance(h, id, i, began)
		f.known[id] = i
	}
	return revision, nil
}
