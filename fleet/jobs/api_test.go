package jobs

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

// Guards against a refusal with a wrong outcome and against a submission that is recorded twice or in part.
func TestAPI(t *testing.T) {
	s := standin.NewStore()
	large := platform.Resources{MilliCores: 64_000, MemoryBytes: 1 << 37}
	a := &API{Intake: &Intake{
		Store: s,
		Configuration: func() (declaration.Set, uint64) {
			return declaration.Set{
				Pools: map[string]declaration.Pool{"cuttingRoom": {Name: "cuttingRoom"}},
				Teams: map[string]declaration.Team{"cutting": {Name: "cutting", MilliCores: 64_000, MemoryBytes: 1 << 37}},
			}, 1
		},
		Members: func() []record.Instance {
			return []record.Instance{{ID: "a", Pool: "cuttingRoom", State: "inService", Capacity: large}}
		},
	}}
	router := chi.NewRouter()
	a.Routes(router)
	post := func(path, body string) (int, problem) {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		var p problem
		if w.Code >= http.StatusBadRequest {
			check.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
		}
		return w.Code, p
	}
	const jobs = "/v1/pools/cuttingRoom/jobs"
	submission := func(id, cores, runTime string) string {
		return `{"id":"` + id + `","team":"cutting","class":"standard","kind":"recut","milliCores":` + cores +
			`,"memoryBytes":1000000,"runTime":"` + runTime + `"}`
	}
	tests := []struct {
		name, path, body string
		status           int
		reason           string
	}{
		{"accepted", jobs, submission("a", "1000", "90s"), http.StatusAccepted, ""},
		{"repeated", jobs, submission("a", "1000", "90s"), http.StatusAccepted, ""},
		{"same id, other job", jobs, submission("a", "2000", "90s"), http.StatusConflict, "duplicate"},
		{"larger than any worker", jobs, submission("b", "65000", "90s"), http.StatusUnprocessableEntity, "tooLarge"},
		{"overflowing size", jobs, submission("b", "9223372036854775807", "90s"), http.StatusUnprocessableEntity, "invalidJob"},
		{"size above 64 bits", jobs, submission("b", "9223372036854775808", "90s"), http.StatusBadRequest, "invalidRequest"},
		{"no run time", jobs, submission("b", "1000", ""), http.StatusUnprocessableEntity, "invalidJob"},
		{"unknown field", jobs, `{"id":"b","worker":"a"}`, http.StatusBadRequest, "invalidRequest"},
		{"unknown pool", "/v1/pools/none/jobs", submission("b", "1000", "90s"), http.StatusUnprocessableEntity, "invalidJob"},
		{"empty cancellation", jobs + "/cancel", `{"ids":[]}`, http.StatusBadRequest, "invalidRequest"},
		{"cancellation", jobs + "/cancel", `{"ids":["a"]}`, http.StatusAccepted, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, p := post(tt.path, tt.body)
			check.Equal(t, "status", status, tt.status)
			if tt.reason != "" {
				check.Equal(t, "reason", p.Reason, tt.reason)
				check.Equal(t, "outcome", p.Outcome, "notRun")
			}
		})
	}
	t.Run("store down", func(t *testing.T) {
		s.SetFaults(standin.StoreFaults{Down: true})
		status, p := post(jobs, submission("c", "1000", "90s"))
		check.Equal(t, "status", status, http.StatusServiceUnavailable)
		check.Equal(t, "outcome", p.Outcome, "unknown")
	})
}
