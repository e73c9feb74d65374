package archive

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// sweepInterval is the time between two sweeps. A sweep with nothing to do costs one get and three lists of one record each.
	sweepInterval = 5 * time.Minute
	// writePause limits the merger to half of the writes that the maintenance share allows a process.
	writePause = 2 * time.Second
	// hourMergeDelay is the time between the end of an hour and its merge. It allows for the last write of each process and for clocks
	// that differ by 2 s.
	hourMergeDelay = 3 * time.Minute
	// blockMergeDelay is the time between the end of a block and the merge of its hours: the longest window of a burn.Series that needs slots
	// of 5 min, plus one slot.
	blockMergeDelay = 6*time.Hour + slotDuration
)

// Merger merges and deletes records. The holder of a duty runs it. It keeps no state between steps.
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

// Run sweeps at a fixed interval until the context ends. It returns record.ErrFenced if another holder has a higher epoch.
func (m *Merger) Run(ctx context.Context) error {
	m.pause = writePause
	for range interval.FromNow(ctx, sweepInterval) {
		err := m.Sweep(ctx)
		if errors.Is(err, record.ErrFenced) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			m.Log.Warn().Err(err).Msg("could not merge archived request counts; the next sweep tries again")
		}
	}
	return ctx.Err()
}

// Sweep performs every step that is due. It may be interrupted at any step and repeated.
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

func (m *Merger) now() time.Time { return clock.Now(m.Now) }

// fence stores the epoch of this holder, or returns record.ErrFenced if a higher epoch is stored. A holder that is paused after the check
// cannot count a part twice either: its writes fail on the expected revision, and the part lists of the merged records show which steps
// it repeats.
func (m *Merger) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, revision, err := record.Load[fenceRecord](ctx, m.Store, fenceKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if h.Epoch > m.Epoch {
		return fmt.Errorf("epoch %d is older than stored epoch %d: %w", m.Epoch, h.Epoch, record.ErrFenced)
	}
	if h.Epoch == m.Epoch {
		return nil
	}
	_, err = record.Save(ctx, m.Store, fenceKey, fenceRecord{m.Epoch}, revision, 0)
	return err
}

// beforeWrite waits for the write pause and checks the fence.
func (m *Merger) beforeWrite(ctx context.Context) error {
	if m.pause > 0 && !interval.Wait(ctx, m.pause) {
		return ctx.Err()
	}
	return m.fence(ctx)
}

func (m *Merger) save(ctx context.Context, key string, value any, expect store.Revision) (store.Revision, error) {
	if err := m.beforeWrite(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return record.Save(ctx, m.Store, key, value, expect, 0)
}

func (m *Merger) remove(ctx context.Context, key string, expect store.Revision) error {
	if err := m.beforeWrite(ctx); err != nil {
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

// oldest returns the oldest record under a prefix and its hour, or false.
func (m *Merger) oldest(ctx context.Context, prefix string) (store.Entry, int64, bool, error) {
	page, err := m.list(ctx, prefix, "", 1)
	if err != nil || len(page.Entries) == 0 {
		return store.Entry{}, 0, false, err
	}
	hour, err := hourFromKey(page.Entries[0].Key, prefix)
	return page.Entries[0], hour, true, err
}

// load returns the merged record at key, or an empty record with revision 0 if there is none.
func (m *Merger) load(ctx context.Context, key string, start int64) (mergedRecord, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, revision, err := record.Load[mergedRecord](ctx, m.Store, key)
	if errors.Is(err, store.ErrNotFound) {
		return mergedRecord{Start: start, Counts: Table{}}, 0, nil
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
		hour, err := hourFromKey(page.Entries[0].Key, partPrefix)
		if err != nil {
			return err
		}
		if m.now().Before(hourStart(hour + 1).Add(hourMergeDelay)) {
			return nil
		}
		if err := m.mergePartsOfHour(ctx, hour); err != nil {
			return err
		}
		from = partsPrefix(hour + 1)
	}
}

// mergePartsOfHour merges the parts of one hour: it seals the parts, writes the hour record and deletes the parts.
func (m *Merger) mergePartsOfHour(ctx context.Context, hour int64) error {
	blockRecord, _, err := m.load(ctx, blockKey(hour), blockStart(hour))
	if err != nil {
		return err
	}
	hourRecord, revision, err := m.load(ctx, hourKey(hour), hour)
	if err != nil {
		return err
	}
	covered, err := blockRecord.covers(hourRecord)
	if err != nil {
		return err
	}
	if hourRecord.Sealed || covered {
		// mergeHours must first merge this record into its block; the parts stay until then.
		return nil
	}
	toMerge, toDelete, err := m.sealParts(ctx, hour, hourRecord, blockRecord)
	if err != nil {
		return err
	}
	if len(toMerge) > 0 {
		for _, p := range toMerge {
			hourRecord.Parts = append(hourRecord.Parts, partRef{p.PartID, p.Sequence})
			hourRecord.Counts.addAll(p.Counts, identity)
		}
		hourRecord.Epoch = m.Epoch
		if _, err := m.save(ctx, hourKey(hour), hourRecord, revision); err != nil {
			return err
		}
	}
	for _, e := range toDelete {
		if err := m.remove(ctx, e.Key, e.Revision); err != nil {
			return err
		}
	}
	return nil
}

// sealParts returns the sealed parts that no merged record includes, and the entries to delete once all are included.
func (m *Merger) sealParts(ctx context.Context, hour int64, hourRecord, blockRecord mergedRecord) ([]part, []store.Entry, error) {
	var toMerge []part
	var toDelete []store.Entry
	from := ""
	for {
		page, err := m.list(ctx, partsPrefix(hour), from, pageLimit)
		if err != nil {
			return nil, nil, err
		}
		for _, e := range page.Entries {
			p, err := decode[part](e)
			if err != nil {
				return nil, nil, err
			}
			_, inHour := hourRecord.sequenceOf(p.PartID)
			_, inBlock := blockRecord.sequenceOf(p.PartID)
			if !inHour && !inBlock {
				if e.Revision, err = m.seal(ctx, e, &p); errors.Is(err, store.ErrConflict) {
					// The process wrote the part concurrently; the next sweep seals it.
					continue
				}
				if err != nil {
					return nil, nil, err
				}
				toMerge = append(toMerge, p)
			}
			toDelete = append(toDelete, store.Entry{Key: e.Key, Revision: e.Revision})
		}
		if page.Next == "" {
			return toMerge, toDelete, nil
		}
		from = page.Next
	}
}

// seal marks the content of a part as final and returns the part's revision.
func (m *Merger) seal(ctx context.Context, e store.Entry, p *part) (store.Revision, error) {
	if p.Sealed {
		return e.Revision, nil
	}
	p.Sealed = true
	return m.save(ctx, e.Key, p, e.Revision)
}

// mergeHours merges the hour records of finished blocks, the oldest first.
func (m *Merger) mergeHours(ctx context.Context) error {
	from := hourPrefix
	for {
		page, err := m.list(ctx, hourPrefix, from, 1)
		if err != nil || len(page.Entries) == 0 {
			return err
		}
		e := page.Entries[0]
		hour, err := hourFromKey(e.Key, hourPrefix)
		if err != nil {
			return err
		}
		if m.now().Before(hourStart(blockStart(hour) + blockHours).Add(blockMergeDelay)) {
			return nil
		}
		if err := m.mergeHourIntoBlock(ctx, hour); err != nil {
			return err
		}
		from = hourKey(hour + 1)
	}
}

// mergeHourIntoBlock seals the hour record, writes the block and deletes the hour record.
func (m *Merger) mergeHourIntoBlock(ctx context.Context, hour int64) error {
	hourRecord, revision, err := m.load(ctx, hourKey(hour), hour)
	if err != nil || revision == 0 {
		return err
	}
	blockRecord, blockRevision, err := m.load(ctx, blockKey(hour), blockStart(hour))
	if err != nil {
		return err
	}
	covered, err := blockRecord.covers(hourRecord)
	if err != nil {
		return err
	}
	if !covered {
		// While a part of the hour exists, a former holder may still write the hour record from it.
		remaining, err := m.list(ctx, partsPrefix(hour), "", 1)
		if err != nil {
			return err
		}
		if len(remaining.Entries) > 0 && !hourRecord.Sealed {
			return nil
		}
		if !hourRecord.Sealed {
			hourRecord.Sealed, hourRecord.Epoch = true, m.Epoch
			if revision, err = m.save(ctx, hourKey(hour), hourRecord, revision); err != nil {
				return err
			}
		}
		blockRecord.Epoch = m.Epoch
		blockRecord.Parts = append(blockRecord.Parts, hourRecord.Parts...)
		blockRecord.Counts.addAll(hourRecord.Counts, func(int) int { return int(hour - blockRecord.Start) })
		if _, err := m.save(ctx, blockKey(hour), blockRecord, blockRevision); err != nil {
			return err
		}
	}
	return m.remove(ctx, hourKey(hour), revision)
}

// expire deletes the blocks that are older than the window.
func (m *Merger) expire(ctx context.Context) error {
	for {
		e, hour, ok, err := m.oldest(ctx, blockPrefix)
		if err != nil || !ok {
			return err
		}
		if m.now().Before(hourStart(hour + blockHours).Add(m.Window() + blockHours*hourDuration)) {
			return nil
		}
		if err := m.remove(ctx, e.Key, e.Revision); err != nil {
			return err
		}
	}
}
