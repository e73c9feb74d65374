package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the members in rendezvous hashing order for a duty: the first is the preferred holder. A member that joins or leaves
// changes the preferred holder of few duties only.
func Order(name string, members []string) []string {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(name, b), weight(name, a)), cmp.Compare(a, b))
	})
	return order
}

func weight(name, member string) uint64 { return xxhash.Sum64String(name + "\x00" + member) }
