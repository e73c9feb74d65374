package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// errFencedWrite is returned when the segment was sealed before the write took effect.
var errFencedWrite = errors.New("segment was sealed by another holder")

// commit writes one segment, retries until the outcome is known, and reports the outcome to the journal.
func (h *Holder) commit(ctx context.Context, a claim.Append) error {
	key := claim.SegmentKey(h.Shard, a.Number)
	value, err := json.Marshal(a.Segment)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if a.Create {
		h.revision = 0
	}
	wait := 20 * time.Millisecond
	for {
		err := h.put(ctx, key, value)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			h.Log.Warn().Err(err).Str("key", key).Msg("outcome of a claim write is unknown; reading the segment back")
			if err := h.sendEvent(ctx, claim.Stalled{}); err != nil {
				return err
			}
		}
		if err != nil {
			err = h.readBack(ctx, key, a)
		}
		switch {
		case err == nil:
			return h.sendEvent(ctx, claim.Committed{})
		case errors.Is(err, errFencedWrite):
			return h.sendEvent(ctx, claim.Fenced{})
		}
		if err := interval.Backoff(ctx, &wait, maxBackoff); err != nil {
			return err
		}
	}
}

func (h *Holder) put(ctx context.Context, key string, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := h.Store.Put(callCtx, store.PutRequest{Key: key, Value: value, Expect: h.revision})
	if err == nil {
		h.revision = revision
	}
	return err
}

// readBack reads the segment to find out whether a write took effect. It returns nil if it did, errFencedWrite if it never
// can, and another error if the write has to be retried. If the first attempt takes effect late, this is harmless, since
// the retry expects the same revision.
func (h *Holder) readBack(ctx context.Context, key string, a claim.Append) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := h.Store.Get(callCtx, key)
	if errors.Is(err, store.ErrNotFound) && !a.Create {
		return errFencedWrite
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	var s claim.Segment
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return fmt.Errorf("decode %s: %w", key, err)
	}
	if s.Writer == a.Segment.Writer && s.Commit >= a.Segment.Commit {
		h.revision = e.Revision
		return nil
	}
	if s.Sealed || s.Epoch != uint64(h.Epoch) {
		return errFencedWrite
	}
	h.revision = e.Revision
	return fmt.Errorf("write %s: %w", key, store.ErrUnavailable)
}

// takeOver seals the last segment with the holder's epoch, creates the next one and replays all segments. After that, no
// earlier holder can append, because its writes expect either the revision before the seal or that the next key does not
// exist.
func (h *Holder) takeOver(ctx context.Context) error {
	wait := 20 * time.Millisecond
	for {
		next, err := h.seal(ctx)
		if err == nil {
			err = h.replay(ctx, next)
		}
		if err == nil {
			h.Journal.Open(next)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, ErrFenced) {
			return err
		}
		h.Log.Warn().Err(err).Int("shard", h.Shard).Msg("cannot take over claim shard; retrying")
		if err := interval.Backoff(ctx, &wait, maxBackoff); err != nil {
			return err
		}
	}
}

// segmentEntry is a segment as it is stored.
type segmentEntry struct {
	number   uint64
	segment  claim.Segment
	revision store.Revision
}

func (h *Holder) forEachSegment(ctx context.Context, visit func(segmentEntry) error) error {
	const pageLimit = 500
	from := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := h.Store.List(callCtx, claim.ShardPrefix(h.Shard), from, pageLimit)
		cancel()
		if err != nil {
			return fmt.Errorf("list claim shard %d: %w", h.Shard, err)
		}
		for _, e := range page.Entries {
			s := segmentEntry{revision: e.Revision}
			s.number, err = strconv.ParseUint(strings.TrimPrefix(e.Key, claim.ShardPrefix(h.Shard)), 10, 64)
			if err == nil {
				err = json.Unmarshal(e.Value, &s.segment)
			}
			if err != nil {
				return fmt.Errorf("decode %s: %w", e.Key, err)
			}
			if err := visit(s); err != nil {
				return err
			}
		}
		if page.Next == "" {
			return nil
		}
		from = page.Next
	}
}

// seal seals the last segment and creates the next one; it returns the number of the next one.
func (h *Holder) seal(ctx context.Context) (uint64, error) {
	var last segmentEntry
	err := h.forEachSegment(ctx, func(s segmentEntry) error {
		last = s
		return nil
	})
	if err != nil {
		return 0, err
	}
	if last.segment.Epoch > uint64(h.Epoch) {
		return 0, ErrFenced
	}
	if last.number > 0 && !last.segment.Sealed {
		sealed := last.segment
		sealed.Epoch, sealed.Sealed = uint64(h.Epoch), true
		h.revision = last.revision
		if err := h.putSegment(ctx, last.number, sealed); err != nil {
			return 0, err
		}
	}
	next := last.number + 1
	h.revision = 0
	return next, h.putSegment(ctx, next, claim.Segment{Epoch: uint64(h.Epoch), Writer: uint64(h.Epoch)})
}

func (h *Holder) putSegment(ctx context.Context, number uint64, s claim.Segment) error {
	key := claim.SegmentKey(h.Shard, number)
	value, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if err := h.put(ctx, key, value); err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

func (h *Holder) replay(ctx context.Context, next uint64) error {
	j := claim.Journal{
		Epoch: uint64(h.Epoch), Retention: h.Journal.Retention, MaxKeys: h.Journal.MaxKeys,
		MaxWaiting: h.Journal.MaxWaiting, SegmentSize: h.Journal.SegmentSize, RollSize: h.Journal.RollSize, ReportDelay: h.Journal.ReportDelay,
	}
	err := h.forEachSegment(ctx, func(s segmentEntry) error {
		if s.segment.Epoch > uint64(h.Epoch) || s.number > next {
			return ErrFenced
		}
		if s.number < next {
			j.Replay(s.number, s.segment)
		}
		return nil
	})
	if err == nil {
		h.Journal = j
	}
	return err
}
