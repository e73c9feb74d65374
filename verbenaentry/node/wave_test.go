package node

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"verbenalanding.example/fleet/tenure"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// Guards against an upkeep that ends a successor's runs: it was reserved by a holder that lost its duty before it gave the order.
func TestNoUpkeepIsOrderedOnceTheDutyIsLost(t *testing.T) {
	var orders atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders.Add(1) }))
	t.Cleanup(server.Close)
	p := lockedPool()
	p.node.Tenure = &tenure.Tenure{Clock: p.node.Clock.Now}
	p.node.Machines = &platform.Machines{
		Client: platform.NewClient(), Addr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	}
	p.upkeeps.order(t.Context(), workload.Wave{ID: "1"}, "slot", heldSlot{slot: slot{Machine: "m0"}}, 7)
	if got := orders.Load(); got != 0 {
		t.Errorf("orders of a holder that is not valid: got %d, want 0", got)
	}
}
