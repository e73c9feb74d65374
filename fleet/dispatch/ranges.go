package dispatch

import (
	"slices"
	"sort"
)

// Range holds the numbers from the first to the last one, both included.
type Range [2]int

// Ranges is a set of numbers, as ranges by ascending number that neither overlap nor touch.
type Ranges []Range

// contains reports whether a number is in the set.
func (r Ranges) contains(n int) bool {
	i := r.search(n)
	return i < len(r) && r[i][0] <= n
}

// search returns the index of the first range that does not end before a number.
func (r Ranges) search(n int) int {
	return sort.Search(len(r), func(i int) bool { return r[i][1] >= n })
}

// add adds a number.
func (r *Ranges) add(n int) {
	i := r.search(n)
	if i < len(*r) && (*r)[i][0] <= n {
		return
	}
	follows := i > 0 && (*r)[i-1][1] == n-1
	precedes := i < len(*r) && (*r)[i][0] == n+1
	switch {
	case follows && precedes:
		(*r)[i-1][1] = (*r)[i][1]
		*r = slices.Delete(*r, i, i+1)
	case follows:
		(*r)[i-1][1] = n
	case precedes:
		(*r)[i][0] = n
	default:
		*r = slices.Insert(*r, i, Range{n, n})
	}
}

// size returns how many numbers are in the set.
func (r Ranges) size() int {
	n := 0
	for _, each := range r {
		n += each[1] - each[0] + 1
	}
	return n
}

// valid reports whether a stored set is one of numbers from 0 to total - 1.
func (r Ranges) valid(total int) bool {
	next := 0
	for _, each := range r {
		if each[0] < next || each[1] < each[0] || each[1] >= total {
			return false
		}
		next = each[1] + 2
	}
	return true
}
