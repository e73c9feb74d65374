package configuration

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// snapshotEvery is the number of changes between two snapshots, and so the maximum number of changes that a process reads
	// at start in addition to the snapshot.
	snapshotEvery = 1000
	// partSize is the size of a part in bytes. It is half of the store's limit for a value, since JSON encoding makes the data
	// longer.
	partSize = 512 << 10
	// keptSnapshots is the number of snapshots that are kept, so that a process can finish reading the older one.
	keptSnapshots = 2
)

// part is one of the parts into which a compressed snapshot is split.
type part struct {
	Number uint64 `json:"number"`
	Digest uint64 `json:"digest"`
	Part   int    `json:"part"`
	Parts  int    `json:"parts"`
	Data   []byte `json:"data"`
}

// partKey returns the key of a part. It contains the digest of the whole snapshot, so that parts of two writers, whose
// encodings may differ, are never combined.
func partKey(number, digest uint64, i int) string {
	return fmt.Sprintf("%s%012d/%016x/%04d", record.SnapshotPrefix, number, digest, i)
}

// Compact writes a snapshot if snapshotEvery changes have been accepted since the last one, and deletes the changes and
// snapshots that the oldest kept snapshot replaces. The holder of the duty snapshot calls it. It may be interrupted at any
// point and repeated.
func (l *Log) Compact(ctx context.Context) error {
	entries, _, err := store.ListAll(ctx, l.Store, record.SnapshotPrefix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	numbers := completeSnapshots(entries)
	state := l.copyState()
	if len(numbers) == 0 || state.Revision >= numbers[len(numbers)-1]+snapshotEvery {
		if state.Revision < snapshotEvery {
			return nil
		}
		if err := l.writeSnapshot(ctx, state); err != nil {
			return err
		}
		numbers = append(numbers, state.Revision)
	}
	if len(numbers) < keptSnapshots {
		return nil
	}
	return l.deleteCovered(ctx, entries, numbers[len(numbers)-keptSnapshots])
}

func (l *Log) writeSnapshot(ctx context.Context, s State) error {
	data, err := compress(s)
	if err != nil {
		return fmt.Errorf("compress snapshot %d: %w", s.Revision, err)
	}
	parts := (len(data) + partSize - 1) / partSize
	digest := xxhash.Sum64(data)
	for i := range parts {
		p := part{Number: s.Revision, Digest: digest, Part: i, Parts: parts, Data: data[i*partSize : min(len(data), (i+1)*partSize)]}
		_, err := record.Save(ctx, l.Store, partKey(s.Revision, digest, i), p, 0, 0)
		// A conflict means that an earlier attempt has written the part already.
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("write snapshot %d: %w", s.Revision, err)
		}
	}
	return nil
}

// deleteCovered deletes the snapshots before the one with the number oldestKept, and one page of the changes up to that number.
func (l *Log) deleteCovered(ctx context.Context, snapshots []store.Entry, oldestKept uint64) error {
	for _, e := range snapshots {
		var p part
		if err := json.Unmarshal(e.Value, &p); err == nil && p.Number >= oldestKept {
			continue
		}
		if err := l.delete(ctx, e); err != nil {
			return err
		}
	}
	const pageLimit = 100
	page, err := l.Store.List(ctx, record.ChangePrefix, "", pageLimit)
	if err != nil {
		return fmt.Errorf("list changes: %w", err)
	}
	for _, e := range page.Entries {
		if changeNumber(e) > oldestKept {
			return nil
		}
		if err := l.delete(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) delete(ctx context.Context, e store.Entry) error {
	err := l.Store.Delete(ctx, e.Key, e.Revision)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("delete %s: %w", e.Key, err)
	}
	return nil
}

// readSnapshot returns the newest complete snapshot, or an empty state when there is none.
func (l *Log) readSnapshot(ctx context.Context) (State, error) {
	entries, _, err := store.ListAll(ctx, l.Store, record.SnapshotPrefix)
	if err != nil {
		return State{}, fmt.Errorf("list snapshots: %w", err)
	}
	dataByDigest := map[uint64][]byte{}
	var newest part
	for _, e := range entries {
		var p part
		if err := json.Unmarshal(e.Value, &p); err != nil {
			return State{}, fmt.Errorf("decode %s: %w", e.Key, err)
		}
		dataByDigest[p.Digest] = append(dataByDigest[p.Digest], p.Data...)
		if p.Part == p.Parts-1 && xxhash.Sum64(dataByDigest[p.Digest]) == p.Digest {
			newest = p
		}
	}
	if newest.Parts == 0 {
		return State{}, nil
	}
	return decompress(dataByDigest[newest.Digest])
}

// completeSnapshots returns the numbers of the snapshots with all parts in the store, in ascending order.
func completeSnapshots(entries []store.Entry) []uint64 {
	var numbers []uint64
	partCounts := map[uint64]int{}
	for _, e := range entries {
		var p part
		if err := json.Unmarshal(e.Value, &p); err != nil {
			continue
		}
		partCounts[p.Digest]++
		if partCounts[p.Digest] == p.Parts && !slices.Contains(numbers, p.Number) {
			numbers = append(numbers, p.Number)
		}
	}
	return numbers
}

func compress(s State) ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func decompress(data []byte) (State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, fmt.Errorf("open snapshot: %w", err)
	}
	defer func() { _ = r.Close() }()
	content, err := io.ReadAll(r)
	if err != nil {
		return State{}, fmt.Errorf("read snapshot: %w", err)
	}
	var s State
	if err := json.Unmarshal(content, &s); err != nil {
		return State{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return s, nil
}
