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
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// DefaultInterval is the time between two writes; with callTimeout it stays under the minute that may be lost.
	DefaultInterval = 50 * time.Second
	// callTimeout bounds each call to the store.
	callTimeout = 3 * time.Second
	// maxHours bounds the hours that wait for the store; the oldest is dropped first.
	maxHours = 24
	// maxServices bounds the services of an hour, because callers choose the names in their requests.
	maxServices = 1024
	// hoursPerFlush spreads the backlog of an outage over several writes.
	hoursPerFlush = 4
	// settleTime is how long a finished hour stays in memory for requests that end late or by a slow clock.
	settleTime = 2 * time.Minute
)

// Writer counts in memory and writes the counts of its process; set the exported fields before use.
type Writer struct {
	Store store.Store
	// Session is unique among all runs of all processes and has no slash.
	Session string
	// Now is time.Now when nil, Interval DefaultInterval when zero.
	Now      func() time.Time
	Interval time.Duration
	Log      zerolog.Logger

	// writing admits one flush at a time; mu protects the fields below and is never held during a call to the store.
	writing sync.Mutex
	mu      sync.Mutex
	hours   map[int64]*hour
	numbers uint64
	dropped uint64
}

// content is a state of a part that the store may hold.
type content struct {
	sequence uint64
	counts   Table
}

// hour is the part of one hour.
type hour struct {
	id      PartID
	counts  Table
	changed bool
	// confirmed is the content that the store is known to hold at a revision; revision 0 means none.
	confirmed content
	revision  store.Revision
	// attempt is a content that was sent and whose write is not known to have taken effect. It is sent unchanged until
	// that is known, so that a sealed part always has one of two known contents.
	attempt *content
	sent    int
}

// Count adds requests that ended at the given time; it never waits for the store.
func (w *Writer) Count(at time.Time, service string, c burn.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hour(hourOf(at))
	if _, ok := h.counts[service]; !ok && len(h.counts) >= maxServices {
		w.dropped += c.Total()
		return
	}
	h.counts.add(service, slotOf(at), c)
	h.changed = true
}

// hour returns the part of an hour and drops the oldest hour when there are too many.
func (w *Writer) hour(number int64) *hour {
	if h, ok := w.hours[number]; ok {
		return h
	}
	if w.hours == nil {
		w.hours = map[int64]*hour{}
	}
	w.hours[number] = &hour{id: w.nextID(number), counts: Table{}, confirmed: content{counts: Table{}}}
	if len(w.hours) > maxHours {
		oldest := slices.Min(w.numbersOfHours())
		h := w.hours[oldest]
		for _, slots := range h.counts.minus(h.confirmed.counts) {
			for _, c := range slots {
				w.dropped += c.Total()
			}
		}
		delete(w.hours, oldest)
		if oldest == number {
			return h
		}
	}
	return w.hours[number]
}

func (w *Writer) nextID(number int64) PartID {
	w.numbers++
	return PartID{Hour: number, Session: w.Session, Number: w.numbers}
}

func (w *Writer) numbersOfHours() []int64 {
	numbers := make([]int64, 0, len(w.hours))
	for n := range w.hours {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// Dropped returns the number of requests that were not kept because a bound was reached.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes the counts once per interval until the context ends; the caller then flushes once more.
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
			w.Log.Warn().Err(err).Msg("counts were not written, they are kept in memory")
		}
	}
}

// Flush writes the hours that changed, the newest first, and stops at the first call that fails.
func (w *Writer) Flush(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	numbers := w.numbersOfHours()
	w.mu.Unlock()
	slices.Reverse(numbers)
	written := 0
	for _, n := range numbers {
		if written == hoursPerFlush {
			return nil
		}
		sent, err := w.flushHour(ctx, n)
		if err != nil {
			return fmt.Errorf("write counts of %s: %w", timeOf(n).Format(time.RFC3339), err)
		}
		if sent {
			written++
		}
	}
	return nil
}

// maxSends bounds the writes of one hour in a flush: an attempt of an earlier flush, the part that follows a sealed one,
// and what was counted in the meantime.
const maxSends = 3

// flushHour sends what changed in an hour and reports whether there was anything.
func (w *Writer) flushHour(ctx context.Context, number int64) (bool, error) {
	for n := range maxSends {
		h, p, expect := w.begin(number)
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

// send sends a part and reports whether the store now holds what was counted when the flush began.
func (w *Writer) send(ctx context.Context, h *hour, p *part, expect store.Revision) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first := h.sent == 1
	revision, err := record.Save(ctx, w.Store, partKey(p.PartID), p, expect, 0)
	switch {
	case err == nil && (first || expect != 0):
		w.confirm(h, revision)
		return first, nil
	case err == nil || errors.Is(err, store.ErrConflict):
		// A repeated attempt may create a part again that was merged and deleted since; only the lists tell.
		return false, w.resolve(ctx, h)
	}
	return false, err
}

// begin returns the content to send, or nil when the store holds all; a finished hour is then forgotten.
func (w *Writer) begin(number int64) (*hour, *part, store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.hours[number]
	if !ok {
		return nil, nil, 0
	}
	if h.attempt == nil && !h.changed {
		if w.now().After(timeOf(number + 1).Add(settleTime)) {
			delete(w.hours, number)
		}
		return nil, nil, 0
	}
	if h.attempt == nil {
		h.attempt, h.sent, h.changed = &content{sequence: h.confirmed.sequence + 1, counts: h.counts.clone()}, 0, false
	}
	h.sent++
	return h, &part{PartID: h.id, Sequence: h.attempt.sequence, Counts: h.attempt.counts}, h.revision
}

func (w *Writer) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}

// confirm notes that the store holds the attempt.
func (w *Writer) confirm(h *hour, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.confirmed, h.revision, h.attempt = *h.attempt, revision, nil
}

// resolve finds out what the store holds of a part. The lists of the merged records come first: a part that they
// include can have been created again by a late call. The hour is read before the block, since it is deleted only after
// the block includes its parts.
func (w *Writer) resolve(ctx context.Context, h *hour) error {
	found, revision, err := record.Load[part](ctx, w.Store, partKey(h.id))
	missing := errors.Is(err, store.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	for _, key := range []string{hourKey(h.id.Hour), blockKey(h.id.Hour)} {
		m, _, err := record.Load[merged](ctx, w.Store, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if sequence, ok := m.sequence(h.id); ok {
			w.follow(h, sequence)
			return nil
		}
	}
	switch {
	case missing:
		w.forget(h)
	case found.Sealed:
		w.follow(h, found.Sequence)
	case found.Sequence == h.attempt.sequence:
		w.confirm(h, revision)
	default:
		w.adopt(h, revision)
	}
	return nil
}

// adopt notes the revision that the next write must expect.
func (w *Writer) adopt(h *hour, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.revision = revision
}

// forget drops an hour whose part is neither in the store nor included: it was deleted with its window.
func (w *Writer) forget(h *hour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.hours, h.id.Hour)
}

// follow goes on in a new part with the counts beyond the final content of the old one.
func (w *Writer) follow(h *hour, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	final := h.confirmed
	if h.attempt != nil && h.attempt.sequence == sequence {
		final = *h.attempt
	}
	rest := h.counts.minus(final.counts)
	*h = hour{id: w.nextID(h.id.Hour), counts: rest, changed: len(rest) > 0, confirmed: content{counts: Table{}}}
}

// Pending is the counts of a part that the store does not hold, for each content that it may hold.
type Pending struct {
	PartID
	Remainders []Remainder `json:"rest"`
}

// Remainder is the counts beyond the content with a sequence; sequence 0 is the empty content.
type Remainder struct {
	Sequence uint64 `json:"sequence"`
	Counts   Table  `json:"counts"`
}

// Pending returns what the store does not hold yet.
func (w *Writer) Pending() []Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Pending
	for _, n := range w.numbersOfHours() {
		h := w.hours[n]
		if h.attempt == nil && !h.changed {
			continue
		}
		p := Pending{PartID: h.id, Remainders: []Remainder{{h.confirmed.sequence, h.counts.minus(h.confirmed.counts)}}}
		if h.attempt != nil {
			p.Remainders = append(p.Remainders, Remainder{h.attempt.sequence, h.counts.minus(h.attempt.counts)})
		}
		all = append(all, p)
	}
	return all
}
