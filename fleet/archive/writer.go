package archive

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// DefaultInterval is the time between two writes. Together with callTimeout it is below the 1 min of counts that a crash may lose.
	DefaultInterval = 50 * time.Second
	// callTimeout bounds each call to the store.
	callTimeout = 3 * time.Second
	// maxHours bounds the hours kept in memory while the store is unavailable; the oldest is dropped first.
	maxHours = 24
	// maxServices bounds the services per hour, because the names come from the callers' requests.
	maxServices = 1024
	// hoursPerFlush bounds the hours written per flush, so that the backlog of an outage is spread over several flushes.
	hoursPerFlush = 4
	// settleTime is how long a finished hour stays in memory, for requests that are counted late and for slow clocks.
	settleTime = 2 * time.Minute
)

// Writer counts requests in memory and writes the counts of its process to the store. Set the exported fields before use.
type Writer struct {
	Store store.Store
	// Session is unique among all runs of all processes and contains no slash.
	Session string
	// Now defaults to time.Now and Interval to DefaultInterval.
	Now      func() time.Time
	Interval time.Duration
	Log      zerolog.Logger

	// flushMu serializes flushes. mu guards the fields below it and is never held during a call to the store.
	flushMu    sync.Mutex
	mu         sync.Mutex
	parts      map[int64]*partState
	lastNumber uint64
	dropped    uint64
}

// content is one version of a part's counts.
type content struct {
	sequence uint64
	counts   Table
}

// partState is the part of one hour in memory.
type partState struct {
	id      PartID
	counts  Table
	changed bool
	// confirmed is the content that the store is known to hold, at revision; revision 0 means that it holds none.
	confirmed content
	revision  store.Revision
	// unconfirmed is the content of a write with unknown outcome. It is sent again unchanged until the outcome is known, so that a sealed part
	// always has one of two known contents.
	unconfirmed *content
	// sends is how often unconfirmed was sent.
	sends int
}

// Count adds requests that ended at the given time. It never waits for the store.
func (w *Writer) Count(at time.Time, service string, c burn.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.partOf(hourOf(at))
	if _, ok := h.counts[service]; !ok && len(h.counts) >= maxServices {
		w.dropped += c.Total()
		return
	}
	h.counts.add(service, slotOf(at), c)
	h.changed = true
}

// partOf returns the part of an hour. It creates the part if necessary and then drops the oldest one if there are more than maxHours.
func (w *Writer) partOf(hour int64) *partState {
	if h, ok := w.parts[hour]; ok {
		return h
	}
	if w.parts == nil {
		w.parts = map[int64]*partState{}
	}
	w.parts[hour] = &partState{id: w.nextID(hour), counts: Table{}, confirmed: content{counts: Table{}}}
	if len(w.parts) > maxHours {
		oldest := slices.Min(w.sortedHours())
		h := w.parts[oldest]
		for _, slots := range h.counts.minus(h.confirmed.counts) {
			for _, c := range slots {
				w.dropped += c.Total()
			}
		}
		delete(w.parts, oldest)
		if oldest == hour {
			return h
		}
	}
	return w.parts[hour]
}

func (w *Writer) nextID(hour int64) PartID {
	w.lastNumber++
	return PartID{Hour: hour, Session: w.Session, Number: w.lastNumber}
}

func (w *Writer) sortedHours() []int64 {
	hours := make([]int64, 0, len(w.parts))
	for n := range w.parts {
		hours = append(hours, n)
	}
	slices.Sort(hours)
	return hours
}

// Dropped returns the number of requests whose counts were dropped because of maxHours or maxServices.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run flushes the counts once per interval until the context ends. The caller must then flush once more.
func (w *Writer) Run(ctx context.Context) error {
	interval := w.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	// A random phase spreads the writes of processes that start together.
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(interval)
		if err := w.Flush(ctx); err != nil && ctx.Err() == nil {
			w.Log.Warn().Err(err).Msg("could not write the request counts; keeping them in memory")
		}
	}
}

// Flush writes the hours that changed, the newest first, and stops at the first call that fails.
func (w *Writer) Flush(ctx context.Context) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	hours := w.sortedHours()
	w.mu.Unlock()
	slices.Reverse(hours)
	written := 0
	for _, n := range hours {
		if written == hoursPerFlush {
			return nil
		}
		changed, err := w.flushHour(ctx, n)
		if err != nil {
			return fmt.Errorf("write counts of %s: %w", hourStart(n).Format(time.RFC3339), err)
		}
		if changed {
			written++
		}
	}
	return nil
}

// maxSends bounds the writes of one hour in a flush: an unconfirmed content of an earlier flush, the part that follows a sealed one, and the
// counts added in the meantime.
const maxSends = 3

// flushHour writes the changes of an hour and reports whether there were any.
func (w *Writer) flushHour(ctx context.Context, hour int64) (bool, error) {
	for n := range maxSends {
		h, p, expect := w.nextWrite(hour)
		if p == nil {
			return n > 0, nil
		}
		current, err := w.send(ctx, h, p, expect)
		if err != nil || current {
			return true, err
		}
	}
	return true, nil
}

// send writes a part and reports whether the store now holds everything that was counted before the flush.
func (w *Writer) send(ctx context.Context, h *partState, p *part, expect store.Revision) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	firstSend := h.sends == 1
	revision, err := record.Save(ctx, w.Store, partKey(p.PartID), p, expect, 0)
	switch {
	case err == nil && (firstSend || expect != 0):
		w.confirm(h, revision)
		return firstSend, nil
	case err == nil || errors.Is(err, store.ErrConflict):
		// A repeated write may create a part again that has been merged and deleted. Only the part lists of the merged records show this.
		return false, w.resolve(ctx, h)
	}
	return false, err
}

// nextWrite returns the part to send and its expected revision, or nil if the store holds all counts of the hour. In that case it removes a
// finished hour from memory.
func (w *Writer) nextWrite(hour int64) (*partState, *part, store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.parts[hour]
	if !ok {
		return nil, nil, 0
	}
	if h.unconfirmed == nil && !h.changed {
		if w.now().After(hourStart(hour + 1).Add(settleTime)) {
			delete(w.parts, hour)
		}
		return nil, nil, 0
	}
	if h.unconfirmed == nil {
		h.unconfirmed, h.sends, h.changed = &content{sequence: h.confirmed.sequence + 1, counts: h.counts.clone()}, 0, false
	}
	h.sends++
	return h, &part{PartID: h.id, Sequence: h.unconfirmed.sequence, Counts: h.unconfirmed.counts}, h.revision
}

func (w *Writer) now() time.Time { return clock.Now(w.Now) }

// confirm records that the store holds the unconfirmed content.
func (w *Writer) confirm(h *partState, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.confirmed, h.revision, h.unconfirmed = *h.unconfirmed, revision, nil
}

// resolve determines from the store which content of a part was written. The part lists of the merged records take precedence, since a
// delayed write can create a merged part again. The hour record is read before the block, since it is deleted only after the block
// includes its parts.
func (w *Writer) resolve(ctx context.Context, h *partState) error {
	stored, revision, err := record.Load[part](ctx, w.Store, partKey(h.id))
	missing := errors.Is(err, store.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	for _, key := range []string{hourKey(h.id.Hour), blockKey(h.id.Hour)} {
		m, _, err := record.Load[mergedRecord](ctx, w.Store, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if sequence, ok := m.sequenceOf(h.id); ok {
			w.startNextPart(h, sequence)
			return nil
		}
	}
	switch {
	case missing:
		w.discard(h)
	case stored.Sealed:
		w.startNextPart(h, stored.Sequence)
	case stored.Sequence == h.unconfirmed.sequence:
		w.confirm(h, revision)
	default:
		w.setRevision(h, revision)
	}
	return nil
}

// setRevision sets the revision that the next write must expect.
func (w *Writer) setRevision(h *partState, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.revision = revision
}

// discard drops an hour whose part is neither in the store nor in a merged record: it has expired.
func (w *Writer) discard(h *partState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.parts, h.id.Hour)
}

// startNextPart continues the hour in a new part, with the counts that the final content of the old part lacks. The argument is the
// sequence of that content.
func (w *Writer) startNextPart(h *partState, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	final := h.confirmed
	if h.unconfirmed != nil && h.unconfirmed.sequence == sequence {
		final = *h.unconfirmed
	}
	remaining := h.counts.minus(final.counts)
	*h = partState{id: w.nextID(h.id.Hour), counts: remaining, changed: len(remaining) > 0, confirmed: content{counts: Table{}}}
}

// Pending holds the counts of a part that the store lacks, for each content that the store may hold.
type Pending struct {
	PartID
	Remainders []Remainder `json:"rest"`
}

// Remainder holds the counts that the content with the given sequence lacks; sequence 0 is the empty content.
type Remainder struct {
	Sequence uint64 `json:"sequence"`
	Counts   Table  `json:"counts"`
}

// Pending returns the counts that the store is not known to hold.
func (w *Writer) Pending() []Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Pending
	for _, n := range w.sortedHours() {
		h := w.parts[n]
		if h.unconfirmed == nil && !h.changed {
			continue
		}
		p := Pending{PartID: h.id, Remainders: []Remainder{{h.confirmed.sequence, h.counts.minus(h.confirmed.counts)}}}
		if h.unconfirmed != nil {
			p.Remainders = append(p.Remainders, Remainder{h.unconfirmed.sequence, h.counts.minus(h.unconfirmed.counts)})
		}
		all = append(all, p)
	}
	return all
}
