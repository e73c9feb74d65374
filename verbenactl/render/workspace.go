package render

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// Workspace returns the division of a workspace's limit as text.
func Workspace(v quota.View) string {
	var b strings.Builder
	fmt.Fprintf(&b, "workspace %s, weight %g, may run %s\n", sanitize(v.Workspace), v.Weight, limits(v.Limit))
	for _, pool := range slices.Sorted(maps.Keys(v.Record.Pools)) {
		s := v.Record.Pools[pool]
		fmt.Fprintf(&b, "pool %s may run %s", sanitize(pool), amounts(s.Grant))
		if s.Want != (workload.Resources{}) {
			fmt.Fprintf(&b, ", wants %s", amounts(s.Want))
		}
		b.WriteByte('\n')
	}
	if v.Limit != (workload.Resources{}) {
		fmt.Fprintf(&b, "all pools may run %s\n", amounts(v.Record.Granted()))
	}
	return b.String()
}

// limits names the amounts of a limit; one of 0 is none.
func limits(r workload.Resources) string {
	if r == (workload.Resources{}) {
		return "any amount"
	}
	return amounts(r)
}

// amounts names the amounts that are not 0.
func amounts(r workload.Resources) string {
	const milliPerCore = 1000
	var list []string
	if r.CPU != 0 {
		list = append(list, fmt.Sprintf("%.1f cores", float64(r.CPU)/milliPerCore))
	}
	if r.MemoryMB != 0 {
		list = append(list, fmt.Sprintf("%d MB", r.MemoryMB))
	}
	if r.GPU != 0 {
		list = append(list, fmt.Sprintf("%d GPUs", r.GPU))
	}
	if len(list) == 0 {
		return "nothing"
	}
	return strings.Join(list, ", ")
}
