package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against numbers whose order differs from that of cmp.Compare: candidates without a finite density would go first.
func TestAscendingHasTheOrderOfNumbers(t *testing.T) {
	numbers := []float64{
		math.NaN(), math.Inf(-1), -math.MaxFloat64, -1, -math.SmallestNonzeroFloat64, math.Copysign(0, -1), 0, math.SmallestNonzeroFloat64, 0.3, 1,
		math.Nextafter(1, 2), 4, math.MaxFloat64, math.Inf(1),
	}
	for _, a := range numbers {
		for _, b := range numbers {
			if got, want := cmp.Compare(ascending(a), ascending(b)), cmp.Compare(a, b); got != want {
				t.Errorf("order of %v and %v: got %d, want %d", a, b, got, want)
			}
		}
	}
}

// Guards against a sort that loses the order of equal keys, or that of keys which differ only in the lower half of their values.
func TestRadixSortIsStable(t *testing.T) {
	const seeds, longest = 60, 400
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		keys := make([]radixKey, r.IntN(longest))
		for i := range keys {
			keys[i] = radixKey{class: uint64(r.IntN(3)) << (8 * r.IntN(8)), value: uint64(r.IntN(4))<<(8*r.IntN(8)) | uint64(r.IntN(2)), index: int32(i)}
		}
		compare := func(a, b radixKey) int { return cmp.Compare(a.index%3, b.index%3) }
		want := slices.Clone(keys)
		slices.SortStableFunc(want, func(a, b radixKey) int {
			return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.value, b.value), compare(a, b))
		})
		got, other := radixSort(keys, make([]radixKey, len(keys)), compare)
		if !slices.Equal(got, want) {
			t.Errorf("seed %d: got %v, want %v", seed, got, want)
		}
		if len(other) != len(got) {
			t.Errorf("seed %d: other slice: got %d keys, want %d", seed, len(other), len(got))
		}
	}
}
