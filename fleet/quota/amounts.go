package quota

import (
	"math"

	"verbenalanding.example/fleet/workload"
)

// resources is the number of resources that a limit has.
const resources = 3

// unlimited stands for an amount without a limit; sums of a few of them fit into an integer.
const unlimited = math.MaxInt64 / 8

// amounts holds the amounts of workload.Resources by index.
type amounts [resources]int64

func amountsOf(r workload.Resources) amounts { return amounts{r.CPU, r.MemoryMB, r.GPU} }

func (a amounts) resources() workload.Resources {
	return workload.Resources{CPU: a[0], MemoryMB: a[1], GPU: a[2]}
}

// plus returns the sum, bounded by unlimited.
func (a amounts) plus(b amounts) amounts {
	for i := range a {
		a[i] = min(unlimited, a[i]+min(unlimited, b[i]))
	}
	return a
}

// largest returns the larger one of each amount.
func (a amounts) largest(b amounts) amounts {
	for i := range a {
		a[i] = max(a[i], b[i])
	}
	return a
}

// exceeds reports whether one of the limited amounts is larger than that of b.
func (a amounts) exceeds(b, limit amounts) bool {
	for i := range a {
		if limit[i] > 0 && a[i] > b[i] {
			return true
		}
	}
	return false
}
