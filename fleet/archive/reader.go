package archive

import (
	"context"
	"fmt"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/store"
)

// AddFunc receives the counts of a service in the span of time that begins at at.
type AddFunc func(service string, at time.Time, span time.Duration, c burn.Counts)

// Read calls add for all archived counts and for the counts in pending that the store does not hold yet. The caller must collect pending
// from the live processes before the call; counts that are no longer pending are then in the store. Parts are read before the records that
// they are merged into, so that none is missed; the part lists of the records show which parts were read twice. After an error, add has
// received only some of the counts.
func Read(ctx context.Context, s store.Store, pending []Pending, add AddFunc) error {
	var parts []part
	if err := forEach(ctx, s, partPrefix, func(p part) { parts = append(parts, p) }); err != nil {
		return err
	}
	var hours []mergedRecord
	if err := forEach(ctx, s, hourPrefix, func(h mergedRecord) { hours = append(hours, h) }); err != nil {
		return err
	}
	// Only the part lists of the blocks are kept, because 90 days of counts would need more memory than a process has.
	blocks := map[int64]mergedRecord{}
	stored := storedParts{sequences: map[PartID]uint64{}, newest: map[hourSession]uint64{}}
	err := forEach(ctx, s, blockPrefix, func(b mergedRecord) {
		stored.add(b.Parts)
		emit(b.Counts, b.Start, hourDuration, add)
		b.Counts = nil
		blocks[b.Start] = b
	})
	if err != nil {
		return err
	}
	for _, h := range hours {
		covered, err := blocks[blockStart(h.Start)].covers(h)
		if err != nil {
			return err
		}
		if !covered {
			stored.add(h.Parts)
			emit(h.Counts, h.Start, slotDuration, add)
		}
	}
	for _, p := range parts {
		if _, ok := stored.sequences[p.PartID]; !ok {
			stored.add([]partRef{{p.PartID, p.Sequence}})
			emit(p.Counts, p.Hour, slotDuration, add)
		}
	}
	for _, p := range pending {
		emit(stored.remainder(p), p.Hour, slotDuration, add)
	}
	return nil
}

// hourSession identifies the parts that one process has written for one hour.
type hourSession struct {
	hour    int64
	session string
}

// storedParts lists the parts that a read found in the store.
type storedParts struct {
	// sequences holds the sequence of each part.
	sequences map[PartID]uint64
	// newest holds the highest part number of each session in each hour.
	newest map[hourSession]uint64
}

func (s storedParts) add(parts []partRef) {
	for _, p := range parts {
		s.sequences[p.PartID] = p.Sequence
		session := hourSession{p.Hour, p.Session}
		s.newest[session] = max(s.newest[session], p.Number)
	}
}

// remainder returns the pending counts that the store did not hold. It returns none if the store has a newer part of the same hour and
// session: the process began that part after pending was collected, and the part contains the remainder of the older one.
func (s storedParts) remainder(p Pending) Table {
	if s.newest[hourSession{p.Hour, p.Session}] > p.Number {
		return nil
	}
	sequence := s.sequences[p.PartID]
	for _, r := range p.Remainders {
		if r.Sequence == sequence {
			return r.Counts
		}
	}
	return nil
}

// emit calls add for every slot of a table that begins at hour start and has slots of the given length.
func emit(t Table, start int64, slot time.Duration, add AddFunc) {
	for service, slots := range t {
		for n, c := range slots {
			add(service, hourStart(start).Add(time.Duration(n)*slot), slot, c)
		}
	}
}

// forEach decodes every record under a prefix, page by page.
func forEach[T any](ctx context.Context, s store.Store, prefix string, visit func(T)) error {
	from := ""
	for {
		page, err := s.List(ctx, prefix, from, pageLimit)
		if err != nil {
			return fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, e := range page.Entries {
			value, err := decode[T](e)
			if err != nil {
				return err
			}
			visit(value)
		}
		if page.Next == "" {
			return nil
		}
		from = page.Next
	}
}
