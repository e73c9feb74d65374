package archive

import (
	"context"
	"fmt"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/store"
)

// AddFunc takes the counts of a service in the span of time that begins at at.
type AddFunc func(service string, at time.Time, span time.Duration, c burn.Counts)

// Read passes all archived counts to add, and the counts in pending that the store does not hold. Pending must have been
// asked from the live processes before the call, so that the store holds everything that they no longer mention. Parts
// are read before the records that they are merged into, so that none is missed; the lists show which were read twice.
// After an error add has taken only some of the counts.
func Read(ctx context.Context, s store.Store, pending []Pending, add AddFunc) error {
	var parts []part
	if err := each(ctx, s, partPrefix, func(p part) { parts = append(parts, p) }); err != nil {
		return err
	}
	var hours []merged
	if err := each(ctx, s, hourPrefix, func(h merged) { hours = append(hours, h) }); err != nil {
		return err
	}
	// Only the lists of the blocks are kept, because 90 days of counts would take more memory than a process has.
	blocks := map[int64]merged{}
	v := view{known: map[PartID]uint64{}, newest: map[hourSession]uint64{}}
	err := each(ctx, s, blockPrefix, func(b merged) {
		v.include(b.Parts)
		emit(b.Counts, b.Start, hourTime, add)
		b.Counts = nil
		blocks[b.Start] = b
	})
	if err != nil {
		return err
	}
	for _, h := range hours {
		covered, err := blocks[blockOf(h.Start)].covers(h)
		if err != nil {
			return err
		}
		if !covered {
			v.include(h.Parts)
			emit(h.Counts, h.Start, slotTime, add)
		}
	}
	for _, p := range parts {
		if _, ok := v.known[p.PartID]; !ok {
			v.include([]included{{p.PartID, p.Sequence}})
			emit(p.Counts, p.Hour, slotTime, add)
		}
	}
	for _, p := range pending {
		emit(v.rest(p), p.Hour, slotTime, add)
	}
	return nil
}

type hourSession struct {
	hour    int64
	session string
}

// view is what a read found in the store.
type view struct {
	known  map[PartID]uint64
	newest map[hourSession]uint64
}

func (v view) include(parts []included) {
	for _, p := range parts {
		v.known[p.PartID] = p.Sequence
		session := hourSession{p.Hour, p.Session}
		v.newest[session] = max(v.newest[session], p.Number)
	}
}

// rest returns the pending counts beyond what was found. A newer part of the same hour was begun after the question
// and holds the rest of the part before it.
func (v view) rest(p Pending) Table {
	if v.newest[hourSession{p.Hour, p.Session}] > p.Number {
		return nil
	}
	sequence := v.known[p.PartID]
	for _, r := range p.Remainders {
		if r.Sequence == sequence {
			return r.Counts
		}
	}
	return nil
}

func emit(t Table, start int64, slot time.Duration, add AddFunc) {
	for service, slots := range t {
		for n, c := range slots {
			add(service, timeOf(start).Add(time.Duration(n)*slot), slot, c)
		}
	}
}

// each decodes every record under a prefix, page by page.
func each[T any](ctx context.Context, s store.Store, prefix string, take func(T)) error {
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
			take(value)
		}
		if page.Next == "" {
			return nil
		}
		from = page.Next
	}
}
