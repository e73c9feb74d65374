package operator

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
)

// maxRows is the maximum number of rows in the answer to a show statement without a limit.
const maxRows = 1000

// show answers a show statement.
func (s *Server) show(ctx context.Context, q declaration.Show) (*message.Table, error) {
	set, revision, err := s.Configuration.Current()
	if err != nil {
		return nil, err
	}
	columns, rows, err := s.list(ctx, set, q.Kind)
	if err != nil {
		return nil, err
	}
	rows, err = filterRows(columns, rows, q)
	if err != nil {
		return nil, err
	}
	limit := q.Limit
	if limit == 0 {
		limit = maxRows
	}
	total := len(rows)
	return &message.Table{Revision: revision, Columns: columns, Rows: rows[:min(limit, total)], Total: total}, nil
}

// filterRows returns the rows that match all conditions of the statement, in its order.
func filterRows(columns []string, rows [][]string, q declaration.Show) ([][]string, error) {
	index := func(field string, at declaration.Position) (int, error) {
		i := slices.Index(columns, field)
		if i < 0 {
			return 0, declaration.StatementProblem(at, quoteWord("field", field), "one of "+strings.Join(columns, ", "))
		}
		return i, nil
	}
	for _, c := range q.Where {
		i, err := index(c.Field, c.At)
		if err != nil {
			return nil, err
		}
		rows = slices.DeleteFunc(rows, func(row []string) bool { return !matches(row[i], c) })
	}
	if q.OrderBy == "" {
		return rows, nil
	}
	i, err := index(q.OrderBy, q.OrderAt)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(rows, func(a, b []string) int {
		order := compare(a[i], b[i])
		if q.Descending {
			return -order
		}
		return order
	})
	return rows, nil
}

func quoteWord(kind, word string) string { return kind + " \"" + word + "\"" }

func matches(value string, c declaration.Condition) bool {
	order := compare(value, c.Value)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

// compare compares quantities of the same unit by amount, so that 60s equals 1m, and all other values as text.
func compare(a, b string) int {
	quantityA, okA := declaration.ParseQuantity(a)
	quantityB, okB := declaration.ParseQuantity(b)
	if okA && okB && quantityA.Unit == quantityB.Unit {
		return cmp.Compare(quantityA.Amount, quantityB.Amount)
	}
	return strings.Compare(a, b)
}
