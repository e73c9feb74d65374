package archive

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// slotDuration is the resolution of parts and hour records. It equals that of the finest tier of a burn.Series that the archive fills.
	slotDuration = 5 * time.Minute
	// hourDuration is the span of parts and hour records, and the resolution of blocks.
	hourDuration = time.Hour
	// blockHours is the number of hours in a block.
	blockHours = 3
	// pageLimit is the number of records per page. It keeps a page near 1 MB at the record size expected in two years, about 50 KB.
	pageLimit = 20
)

// Keys of the records.
const (
	partPrefix  = record.ArchivePrefix + "part/"
	hourPrefix  = record.ArchivePrefix + "hour/"
	blockPrefix = record.ArchivePrefix + "block/"
	fenceKey    = record.ArchivePrefix + "holder"
)

// ErrOverlap is returned when an hour record and its block share only some of the hour's parts. Counting both would count the shared parts
// twice, and counting only the block would miss the others.
var ErrOverlap = errors.New("merged records share only some of their parts")

// Table holds counts by service and slot number within the record.
type Table map[string]map[int]burn.Counts

func (t Table) add(service string, slot int, c burn.Counts) {
	slots, ok := t[service]
	if !ok {
		slots = map[int]burn.Counts{}
		t[service] = slots
	}
	slots[slot] = sum(slots[slot], c)
}

// addAll adds the counts of another table; slot maps its slot numbers to those of t.
func (t Table) addAll(o Table, slot func(int) int) {
	for service, slots := range o {
		for n, c := range slots {
			t.add(service, slot(n), c)
		}
	}
}

func identity(n int) int { return n }

func (t Table) clone() Table {
	c := Table{}
	c.addAll(t, identity)
	return c
}

// minus returns the counts that were added since an earlier state of the table; unchanged slots are left out.
func (t Table) minus(earlier Table) Table {
	added := Table{}
	for service, slots := range t {
		for n, c := range slots {
			if d := difference(c, earlier[service][n]); d.Total() > 0 {
				added.add(service, n, d)
			}
		}
	}
	return added
}

func sum(a, b burn.Counts) burn.Counts {
	a.Good += b.Good
	for i := range a.Bad {
		a.Bad[i] += b.Bad[i]
	}
	return a
}

func difference(a, b burn.Counts) burn.Counts {
	a.Good -= b.Good
	for i := range a.Bad {
		a.Bad[i] -= b.Bad[i]
	}
	return a
}

// MarshalJSON encodes each slot as an array: its number, the good requests and the bad requests by cause, without trailing zeros. With field
// names a record would be five times as long.
func (t Table) MarshalJSON() ([]byte, error) {
	rows := make(map[string][][]uint64, len(t))
	for service, slots := range t {
		for n, c := range slots {
			row := append([]uint64{uint64(n), c.Good}, c.Bad[:]...)
			for len(row) > 1 && row[len(row)-1] == 0 {
				row = row[:len(row)-1]
			}
			rows[service] = append(rows[service], row)
		}
	}
	return json.Marshal(rows)
}

// UnmarshalJSON decodes the format of MarshalJSON.
func (t *Table) UnmarshalJSON(data []byte) error {
	var rowsByService map[string][][]uint64
	if err := json.Unmarshal(data, &rowsByService); err != nil {
		return err
	}
	*t = Table{}
	for service, rows := range rowsByService {
		for _, row := range rows {
			if len(row) == 0 || len(row) > 2+len(burn.Causes) {
				return fmt.Errorf("counts of service %s: invalid row length %d", service, len(row))
			}
			var c burn.Counts
			if len(row) > 1 {
				c.Good = row[1]
				copy(c.Bad[:], row[2:])
			}
			t.add(service, int(row[0]), c)
		}
	}
	return nil
}

// PartID identifies a part.
type PartID struct {
	// Hour is the number of hours since the Unix epoch.
	Hour int64 `json:"hour"`
	// Session identifies one run of a process; numbers increase within it.
	Session string `json:"session"`
	Number  uint64 `json:"number"`
}

// part holds the counts of one process in one hour.
type part struct {
	PartID
	// Sequence increases with every change of the content.
	Sequence uint64 `json:"sequence"`
	// Sealed marks the content as final; the process continues in a new part.
	Sealed bool  `json:"sealed,omitempty"`
	Counts Table `json:"counts"`
}

// partRef refers to a part that a merged record includes, with the sequence of the part's final content.
type partRef struct {
	PartID
	Sequence uint64 `json:"sequence"`
}

// mergedRecord is an hour record with slots of 5 min or a block with slots of 1 h.
type mergedRecord struct {
	// Start is the first hour, in hours since the Unix epoch.
	Start int64        `json:"start"`
	Epoch record.Epoch `json:"epoch"`
	// Sealed marks an hour record to which no further part is added, because it is being merged into its block.
	Sealed bool      `json:"sealed,omitempty"`
	Parts  []partRef `json:"parts"`
	Counts Table     `json:"counts"`
}

// sequenceOf returns the sequence of a part that the record includes, or false.
func (m mergedRecord) sequenceOf(id PartID) (uint64, bool) {
	for _, p := range m.Parts {
		if p.PartID == id {
			return p.Sequence, true
		}
	}
	return 0, false
}

// covers reports whether the record includes the parts of another one. It returns ErrOverlap if it includes only some of them.
func (m mergedRecord) covers(o mergedRecord) (bool, error) {
	shared := 0
	for _, p := range o.Parts {
		if _, ok := m.sequenceOf(p.PartID); ok {
			shared++
		}
	}
	if shared > 0 && shared < len(o.Parts) {
		return false, fmt.Errorf("hour %d and block %d: %w", o.Start, m.Start, ErrOverlap)
	}
	return shared > 0, nil
}

// fenceRecord holds the epoch of the current holder of the duty.
type fenceRecord struct {
	Epoch record.Epoch `json:"epoch"`
}

func hourOf(at time.Time) int64 { return at.Unix() / int64(hourDuration/time.Second) }

func hourStart(hour int64) time.Time { return time.Unix(hour*int64(hourDuration/time.Second), 0).UTC() }

func slotOf(at time.Time) int {
	return int(at.Unix() % int64(hourDuration/time.Second) / int64(slotDuration/time.Second))
}

func blockStart(hour int64) int64 { return hour - hour%blockHours }

// Hours and part numbers in keys have a fixed width, so that keys sort by time.
func hourKey(hour int64) string { return fmt.Sprintf("%s%08d", hourPrefix, hour) }

func blockKey(hour int64) string { return fmt.Sprintf("%s%08d", blockPrefix, blockStart(hour)) }

func partsPrefix(hour int64) string { return fmt.Sprintf("%s%08d/", partPrefix, hour) }

func partKey(id PartID) string {
	return fmt.Sprintf("%s%s/%06d", partsPrefix(id.Hour), id.Session, id.Number)
}

// hourFromKey returns the hour in the key of a record.
func hourFromKey(key, prefix string) (int64, error) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	hour, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("key %s: %w", key, err)
	}
	return hour, nil
}

func decode[T any](e store.Entry) (T, error) {
	var value T
	if err := json.Unmarshal(e.Value, &value); err != nil {
		return value, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return value, nil
}
