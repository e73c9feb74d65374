package declaration

import (
	"strconv"
	"strings"
	"time"
)

// FieldValue is a field of a declared object with its value as text. Value is empty if Export leaves the field out.
type FieldValue struct {
	Field string
	Value string
}

// Describe returns the fields of a declared object in the order of Fields, or false if the object is not in the set.
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
	values := make([]FieldValue, len(fields))
	for i, f := range fields {
		values[i].Field = f.name
		if text, isWritten := f.format(value); isWritten {
			values[i].Value = text
		}
	}
	return values, true
}

// Problem returns a problem at a field of an object in the document, or in the configuration in force if the document does not
// declare the object.
func (d Document) Problem(r Ref, field, found, expected string) Problem {
	c := checker{positions: d.positions}
	c.refuse(found, expected, fieldRef{r, field})
	return c.problems[0]
}

// Quantity is an amount with its unit; quantities of different units cannot be compared.
type Quantity struct {
	Unit   string
	Amount float64
}

// ParseQuantity parses a number, percentage, duration, size, rate, time of day or time, or returns false.
func ParseQuantity(text string) (Quantity, bool) {
	if f, err := strconv.ParseFloat(text, 64); err == nil {
		return Quantity{"number", f}, true
	}
	if number, ok := strings.CutSuffix(text, "%"); ok {
		f, err := strconv.ParseFloat(number, 64)
		return Quantity{"percentage", f}, err == nil
	}
	if d, err := parseDuration(text); err == nil {
		return Quantity{"duration", float64(d)}, true
	}
	if n, err := parseSize(text); err == nil {
		return Quantity{"size", float64(n)}, true
	}
	if f, err := parseRate(text); err == nil {
		return Quantity{"rate", f}, true
	}
	if d, err := parseTimeOfDay(text); err == nil {
		return Quantity{"clock", float64(d)}, true
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return Quantity{"time", float64(t.UnixNano())}, true
	}
	return Quantity{}, false
}

// FormatSize formats a number of bytes as Export does.
func FormatSize(n int64) string { return formatSize(n) }

// FormatCores formats thousandths of a core as Export does.
func FormatCores(n int64) string { return formatCores(n) }

// FormatDuration formats a duration as Export does.
func FormatDuration(d time.Duration) string { return formatDuration(d) }
