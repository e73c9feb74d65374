package archive

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// sweepInterval is the time between two looks for finished hours; a look costs a read and three lists of one record.
	sweepInterval = 5 * time.Minute
	// writePause keeps the merger at half of what a process may write in the share of maintenance.
	writePause = 2 * time.Second
	// mergeAfter leaves the processes time for the last write of an hour, and for clocks that are 2 s apart.
	mergeAfter = 3 * time.Minute
	// blockAfter is the longest window of a burn.Series that needs slots of 5 min, with one slot to spare.
	blockAfter = 6*time.Hour + slotTime
)

// Merger merges and deletes records; it is run by the holder of a duty and keeps nothing between two steps.
type Merger struct {
	Store store.Store
	Epoch record.Epoch
	// Window returns how long counts are kept.
	Window func() time.Duration
	// Now is time.Now when nil.
	Now func() time.Time
	Log zerolog.Logger

	// pause is the wait before each write.
	pause time.Duration
}

// Run merges until the context ends or another holder has a higher epoch; then it returns record.ErrFenced.
func (m *Merger) Run(ctx context.Context) error {
	m.pause = writePause
	for range interval.FromNow(ctx, sweepInterval) {
		err := m.Sweep(ctx)
		if errors.Is(err, record.ErrFenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			m.Log.Warn().Err(err).Msg("counts were not merged")
		}
	}
	return ctx.Err()
}

// Sweep takes every step that is due. It may be ended and repeated at any step.
func (m *Merger) Sweep(ctx context.Context) error {
	if err := m.fence(ctx); err != nil {
		return err
	}
	if err := m.mergeParts(ctx); err != nil {
		return fmt.Errorf("merge parts: %w", err)
	}
	if err := m.mergeHours(ctx); err != nil {
		return fmt.Errorf("merge hours: %w", err)
	}
	if err := m.expire(ctx); err != nil {
		return fmt.Errorf("delete expired blocks: %w", err)
	}
	return nil
}

func (m *Merger) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// fence writes the epoch of this holder, or returns record.ErrFenced when there is a higher one. A holder that is paused
// after it cannot count a part twice either: its writes fail on the revision, and the lists show what it repeats.
func (m *Merger) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, revision, err := record.Load[holder](ctx, m.Store, holderKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if h.Epoch > m.Epoch {
		return fmt.Errorf("epoch %d after %d: %w", m.Epoch, h.Epoch, record.ErrFenced)
	}
	if h.Epoch == m.Epoch {
		return nil
	}
	_, err = record.Save(ctx, m.Store, holderKey, holder{m.Epoch}, revision, 0)
	return err
}

// before waits for the pace and checks the fence.
func (m *Merger) before(ctx context.Context) error {
	if m.pause > 0 && !interval.Wait(ctx, m.pause) {
		return ctx.Err()
	}
	return m.fence(ctx)
}

func (m *Merger) save(ctx context.Context, key string, value any, expect store.Revision) (store.Revision, error) {
	if err := m.before(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return record.Save(ctx, m.Store, key, value, expect, 0)
}

func (m *Merger) remove(ctx context.Context, key string, expect store.Revision) error {
	if err := m.before(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.Store.Delete(ctx, key, expect)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

func (m *Merger) list(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := m.Store.List(ctx, prefix, from, limit)
	if err != nil {
		return page, fmt.Errorf("list %s: %w", prefix, err)
	}
	return page, nil
}

// first returns the oldest record under a prefix and its hour, or false.
func (m *Merger) first(ctx context.Context, prefix string) (store.Entry, int64, bool, error) {
	page, err := m.list(ctx, prefix, "", 1)
	if err != nil || len(page.Entries) == 0 {
		return store.Entry{}, 0, false, err
	}
	number, err := hourInKey(page.Entries[0].Key, prefix)
	return page.Entries[0], number, true, err
}

// load returns the merged record at key, empty when there is none.
func (m *Merger) load(ctx context.Context, key string, start int64) (merged, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, revision, err := record.Load[merged](ctx, m.Store, key)
	if errors.Is(err, store.ErrNotFound) {
		return merged{Start: start, Counts: Table{}}, 0, nil
	}
	if err == nil && r.Epoch > m.Epoch {
		err = fmt.Errorf("%s: %w", key, record.ErrFenced)
	}
	return r, revision, err
}

// mergeParts merges the parts of finished hours, the oldest hour first.
func (m *Merger) mergeParts(ctx context.Context) error {
	from := partPrefix
	for {
		page, err := m.list(ctx, partPrefix, from, 1)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		number, err := hourInKey(page.Entries[0].Key, partPrefix)
		if err != nil {
			return err
		}
		if m.now().Before(timeOf(number + 1).Add(mergeAfter)) {
			return nil
		}
		if err := m.mergeHour(ctx, number); err != nil {
			return err
		}
		from = partsOf(number + 1)
	}
}

// mergeHour merges the parts of one hour: seal each, write the hour's record, delete each.
func (m *Merger) mergeHour(ctx context.Context, number int64) error {
	block, _, err := m.load(ctx, blockKey(number), blockOf(number))
	if err != nil {
		return err
	}
	hour, revision, err := m.load(ctx, hourKey(number), number)
	if err != nil {
		return err
	}
	covered, err := block.covers(hour)
	if err != nil {
		return err
	}
	if hour.Sealed || covered {
		// mergeHours finishes with this record first; the parts wait.
		return nil
	}
	ready, done, err := m.sealParts(ctx, number, hour, block)
	if err != nil {
		return err
	}
	if len(ready) > 0 {
		for _, p := range ready {
			hour.Parts = append(hour.Parts, included{p.PartID, p.Sequence})
			hour.Counts.addAll(p.Counts, same)
		}
		hour.Epoch = m.Epoch
		if _, err := m.save(ctx, hourKey(number), hour, revision); err != nil {
			return err
		}
	}
	for _, e := range done {
		if err := m.remove(ctx, e.Key, e.Revision); err != nil {
			return err
		}
	}
	return nil
}

// sealParts returns the sealed parts that no merged record includes, and the entries to delete once all are included.
func (m *Merger) sealParts(ctx context.Context, number int64, hour, block merged) ([]part, []store.Entry, error) {
	var ready []part
	var done []store.Entry
	from := ""
	for {
		page, err := m.list(ctx, partsOf(number), from, pageLimit)
		if err != nil {
			return nil, nil, err
		}
		for _, e := range page.Entries {
			p, err := decode[part](e)
			if err != nil {
				return nil, nil, err
			}
			_, inHour := hour.sequence(p.PartID)
			_, inBlock := block.sequence(p.PartID)
			if !inHour && !inBlock {
				if e.Revision, err = m.seal(ctx, e, &p); errors.Is(err, store.ErrConflict) {
					// The process wrote at the same time; the next sweep takes the part.
					continue
				}
				if err != nil {
					return nil, nil, err
				}
				ready = append(ready, p)
			}
			done = append(done, store.Entry{Key: e.Key, Revision: e.Revision})
		}
		if page.Next == "" {
			return ready, done, nil
		}
		from = page.Next
	}
}

// seal makes the content of a part final and returns the part's revision.
func (m *Merger) seal(ctx context.Context, e store.Entry, p *part) (store.Revision, error) {
	if p.Sealed {
		return e.Revision, nil
	}
	p.Sealed = true
	return m.save(ctx, e.Key, p, e.Revision)
}

// mergeHours merges old hours into their blocks: seal the hour, write the block, delete the hour.
func (m *Merger) mergeHours(ctx context.Context) error {
	from := hourPrefix
	for {
		page, err := m.list(ctx, hourPrefix, from, 1)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		e := page.Entries[0]
		number, err := hourInKey(e.Key, hourPrefix)
		if err != nil {
			return err
		}
		if m.now().Before(timeOf(blockOf(number) + blockHours).Add(blockAfter)) {
			return nil
		}
		if err := m.mergeIntoBlock(ctx, number); err != nil {
			return err
		}
		from = hourKey(number + 1)
	}
}

func (m *Merger) mergeIntoBlock(ctx context.Context, number int64) error {
	hour, revision, err := m.load(ctx, hourKey(number), number)
	if err != nil || revision == 0 {
		return err
	}
	block, blockRevision, err := m.load(ctx, blockKey(number), blockOf(number))
	if err != nil {
		return err
	}
	covered, err := block.covers(hour)
	if err != nil {
		return err
	}
	if !covered {
		// While a part of the hour exists, an earlier holder may still create the hour's record from it.
		left, err := m.list(ctx, partsOf(number), "", 1)
		if err != nil {
			return err
		}
		if len(left.Entries) > 0 && !hour.Sealed {
			return nil
		}
		if !hour.Sealed {
			hour.Sealed, hour.Epoch = true, m.Epoch
			if revision, err = m.save(ctx, hourKey(number), hour, revision); err != nil {
				return err
			}
		}
		block.Epoch = m.Epoch
		block.Parts = append(block.Parts, hour.Parts...)
		block.Counts.addAll(hour.Counts, func(int) int { return int(number - block.Start) })
		if _, err := m.save(ctx, blockKey(number), block, blockRevision); err != nil {
			return err
		}
	}
	return m.remove(ctx, hourKey(number), revision)
}

// expire deletes the blocks that ended before the window.
func (m *Merger) expire(ctx context.Context) error {
	for {
		e, number, ok, err := m.first(ctx, blockPrefix)
		if err != nil || !ok {
			return err
		}
		if m.now().Before(timeOf(number + blockHours).Add(m.Window() + blockHours*hourTime)) {
			return nil
		}
		if err := m.remove(ctx, e.Key, e.Revision); err != nil {
			return err
		}
	}
}
