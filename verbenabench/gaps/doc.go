// Package gaps measures how long tasks wait by their size, in pools where small tasks leave gaps that large ones do not fit into. It drives
// fleet/dispatch without a network, and compares it with placements that know all run times.
package gaps
