package node

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// serve starts an HTTP server that runs until the test ends, and returns its address.
func serve(t *testing.T, answer http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against an upkeep that ends runs of a successor: a holder reserved a slot, lost the duty and then gave the upkeep order.
func TestNoUpkeepIsOrderedOnceTheDutyIsLost(t *testing.T) {
	var orders atomic.Int64
	addr := serve(t, func(http.ResponseWriter, *http.Request) { orders.Add(1) })
	p := offlinePool()
	p.node.Elector = &leadership.Elector{Clock: p.node.Clock.Now}
	p.node.Machines = &platform.Machines{Client: platform.NewClient(), Addr: addr}
	p.upkeeps.order(t.Context(), workload.Wave{ID: "1"}, "slot", reservedSlot{slot: slot{Machine: "m0"}}, 7)
	if got := orders.Load(); got != 0 {
		t.Errorf("orders of a holder that is not valid: got %d, want 0", got)
	}
}
