package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/standin"
)

// requestsReported returns the number of requests in an objective's whole window according to the burn report of a process.
func requestsReported(t *testing.T, p *process, objective string) uint64 {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%sburn?format=json", p.OperatorAddr(), message.ReportPath), nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var statuses []burn.Status
	if err := json.NewDecoder(response.Body).Decode(&statuses); err != nil {
		t.Fatal(err)
	}
	for _, l := range statuses {
		if l.Objective == objective {
			return l.Rates[len(l.Rates)-1].Counts.Total()
		}
	}
	return 0
}

// Guards against an error budget that is reset when all entry instances are replaced, and against requests that are counted both from
// the store and from a live process. During a store outage the report covers only the live processes.
func TestBurnReportSurvivesReplacement(t *testing.T) {
	s := startSite(t)
	applySample(t, s.Store)
	want := uint64(0)
	for i := range 3 {
		p := start(t, s, fmt.Sprintf("e%d", i+1))
		eventually(t, "ready", 30*time.Second, func() bool { return ready(p) && inService(t, s.Store)["fittingDesk"] == 9 })
		for range 20 {
			if _, _, err := call(p.CallerAddr(), "sizeMatch", "urgent", "", "hello"); err != nil {
				t.Fatal(err)
			}
			want++
		}
		eventually(t, "all requests are reported", 5*time.Second, func() bool { return requestsReported(t, p, "fittingBay") >= want })
		if got := requestsReported(t, p, "fittingBay"); got != want {
			t.Fatalf("requests in the report: got %d, want %d", got, want)
		}
		s.Store.SetFaults(standin.StoreFaults{Down: true})
		if got := requestsReported(t, p, "fittingBay"); got != 20 {
			t.Fatalf("requests in the report without the store: got %d, want 20 of the live process", got)
		}
		s.Store.SetFaults(standin.StoreFaults{})
		p.stop(t)
	}
}
