package placement

import (
	"strconv"

	"verbenalanding.example/fleet/platform"
)

func add(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func sub(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

func maximum(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minimum(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func scale(a platform.Resources, numerator, denominator int64) platform.Resources {
	return platform.Resources{
		MilliCores:   a.MilliCores * numerator / denominator,
		MemoryBytes:  a.MemoryBytes / denominator * numerator,
		Accelerators: a.Accelerators * numerator / denominator,
	}
}

// fits reports whether need does not exceed available in any dimension.
func fits(need, available platform.Resources) bool {
	return need.MilliCores <= available.MilliCores && need.MemoryBytes <= available.MemoryBytes && need.Accelerators <= available.Accelerators
}

// Format renders resources for the details of placement reasons.
func Format(r platform.Resources) string {
	b := make([]byte, 0, 48)
	b = strconv.AppendFloat(b, float64(r.MilliCores)/1000, 'f', 2, 64)
	b = append(b, " cores, "...)
	b = strconv.AppendFloat(b, float64(r.MemoryBytes)/(1<<30), 'f', 2, 64)
	b = append(b, " GiB, "...)
	b = strconv.AppendInt(b, r.Accelerators, 10)
	return string(append(b, " accelerators"...))
}

// Upper limits of a job's size. They are far above any fleet and keep sums over many jobs within int64.
const (
	maxMilliCores   = int64(1) << 40
	maxMemory       = int64(1) << 50
	maxAccelerators = int64(1) << 30
)

// ValidSize reports whether r is not negative, not all zero and small enough that sums do not overflow.
func ValidSize(r platform.Resources) bool {
	if r.MilliCores < 0 || r.MemoryBytes < 0 || r.Accelerators < 0 {
		return false
	}
	return r.MilliCores <= maxMilliCores && r.MemoryBytes <= maxMemory && r.Accelerators <= maxAccelerators && r != platform.Resources{}
}
