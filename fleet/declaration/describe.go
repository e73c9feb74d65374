package declaration

import (
	"strconv"
	"strings"
	"time"
)

// FieldValue is a field of a declared object as Export writes it; Value is empty when the field is left out.
type FieldValue struct {
	Field string
	Value string
}

// Describe returns the fields of a declared object in the order of Fields, or false when the set does not hold it.
func (s Set) Describe(r Ref) ([]FieldValue, bool) {
	switch r.Kind {
	case KindPool:
		return describe(s.Pools, r.Name, pools.fields)
	case KindService:
		return describe(s.Services, r.Name, services.fields)
	case KindTeam:
		return describe(s.Teams, r.Name, teams.fields)
	case KindBudget:
		return describe(s.Budgets, r.Name, budgets.fields)
	case KindWave:
		return describe(s.Waves, r.Name, waves.fields)
	case KindObjective:
		return describe(s.Objectives, r.Name, objectives.fields)
	case KindIntent:
		return describe(s.Intents, r.Name, intentFields)
	}
	return nil, false
}

func describe[T any](objects map[string]T, name string, fields []field[T]) ([]FieldValue, bool) {
	value, ok := objects[name]
	if !ok {
		return nil, false
	}
	texts := make([]FieldValue, len(fields))
	for i, f := range fields {
		texts[i].Field = f.name
		if text, isWritten := f.write(value); isWritten {
			texts[i].Value = text
		}
	}
	return texts, true
}

// Problem returns a problem at a field of an object of the document, or in the configuration in force when it is not
// in the document.
func (d Document) Problem(r Ref, field, found, expected string) Problem {
	c := checker{marks: d.marks}
	c.refuse(found, expected, spot{r, field})
	return c.problems[0]
}

// Quantity is the amount that a text stands for; amounts of different units do not compare.
type Quantity struct {
	Unit   string
	Amount float64
}

// ParseQuantity reads a number, percentage, duration, size, rate, time of day or time, or returns false.
func ParseQuantity(text string) (Quantity, bool) {
	if f, err := strconv.ParseFloat(text, 64); err == nil {
		return Quantity{"number", f}, true
	}
	if number, ok := strings.CutSuffix(text, "%"); ok {
		f, err := strconv.ParseFloat(number, 64)
		return Quantity{"percentage", f}, err == nil
	}
	if d, err := readSpan(text); err == nil {
		return Quantity{"duration", float64(d)}, true
	}
	if n, err := readSize(text); err == nil {
		return Quantity{"size", float64(n)}, true
	}
	if f, err := readRate(text); err == nil {
		return Quantity{"rate", f}, true
	}
	if d, err := readClock(text); err == nil {
		return Quantity{"clock", float64(d)}, true
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return Quantity{"time", float64(t.UnixNano())}, true
	}
	return Quantity{}, false
}

// FormatSize writes a number of bytes as Export does.
func FormatSize(n int64) string { return writeSize(n) }

// FormatCores writes thousandths of a core as Export does.
func FormatCores(n int64) string { return writeCores(n) }

// FormatDuration writes a duration as Export does.
func FormatDuration(d time.Duration) string { return writeSpan(d) }
