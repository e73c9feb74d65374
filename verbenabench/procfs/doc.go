// Package procfs reads from Linux what another process uses.
package procfs
