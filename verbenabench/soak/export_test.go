package soak

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"verbenalanding.example/platform"
)

// AwaitVersions runs the check of the newest configuration on processes at the given addresses.
func AwaitVersions(ctx context.Context, limit, callTimeout time.Duration, addrs ...netip.AddrPort) error {
	s := &Soak{version: 1}
	for i, addr := range addrs {
		s.processes = append(s.processes, &process{
			settings: platform.Settings{Node: nodeName(i), Entry: addr}, client: &http.Client{Timeout: callTimeout},
		})
	}
	return s.awaitVersions(ctx, limit)
}

// ProcessorUse describes what the operating system reports about a process.
func ProcessorUse(pid int) (state string, ran time.Duration) {
	u := readProcessorUse(pid)
	return u.state, u.ran
}
