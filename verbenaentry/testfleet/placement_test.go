package testfleet_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/operator/message"
)

// placementAnswer is an answer or a problem.
type placementAnswer struct {
	dispatch.Placement
	Holder        string `json:"holder"`
	Configuration int64  `json:"configuration"`
	Detail        string `json:"detail"`
}

// Guards against a question that only the holder of the pool answers, that leaves a job behind, or whose bad input is answered without the field and the
// reason.
func TestEachNodeSaysWhereAJobWouldGo(t *testing.T) {
	f, ctx := startFleetWithKeys(t, 3)
	content, err := json.Marshal(job(1).Job)
	if err != nil {
		t.Fatal(err)
	}
	const queue = "q-cutting"
	ask := func(i int, path string, body []byte) (int, placementAnswer) {
		var a placementAnswer
		status, answer, err := f.Ask(ctx, i, path, bytes.Clone(body))
		if err != nil || json.Unmarshal(answer, &a) != nil {
			t.Fatalf("answer of node %d: got %q and %v, want one in JSON", i, answer, err)
		}
		return status, a
	}
	for i := range 3 {
		var a placementAnswer
		waitUntil(ctx, func() bool {
			var status int
			status, a = ask(i, "queues/"+queue+"/placement?workspace=hemline", content)
			return status == http.StatusOK && len(a.Steps) > 0 && len(a.Steps[0].Starts) > 0
		})
		if len(a.Steps) == 0 || len(a.Steps[0].Starts) == 0 {
			t.Fatalf("placement by node %d: got %+v, want starts", i, a)
		}
		start := a.Steps[0].Starts[0]
		if a.Pool != "cutting" || a.Queue != queue || a.Holder == "" || a.Configuration == 0 || a.Time.IsZero() || start.Worker == "" || start.Rack == "" || start.DataCentre == "" {
			t.Errorf("placement by node %d: got %+v, want pool, holder, version, time and the place of the worker", i, a)
		}
	}
	for _, c := range []struct {
		name, path, body, detail string
		status                   int
	}{
		{"an unknown queue", "queues/none/placement", string(content), `queue "none": no such queue`, http.StatusNotFound},
		{"an unknown workspace", "queues/" + queue + "/placement?workspace=none", string(content), `workspace "none": no such workspace`, http.StatusNotFound},
		{"no workspace", "queues/" + queue + "/placement", string(content), "workspace: missing", http.StatusBadRequest},
		{"no steps", "queues/" + queue + "/placement?workspace=seam", `{}`, "0 steps, want", http.StatusBadRequest},
		{"no JSON", "queues/" + queue + "/placement?workspace=seam", `{"Steps":1}`, "Steps", http.StatusBadRequest},
		{"a body beyond the limit", "queues/" + queue + "/placement?workspace=seam", strings.Repeat(" ", 8<<20), "body", http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, a := ask(0, c.path, []byte(c.body))
			assertStatus(t, c.name, status, c.status)
			if !strings.Contains(a.Detail, c.detail) || strings.Contains(a.Detail, "\n") || a.Reason == "" {
				t.Errorf("problem: got %q with reason %q, want one line with %q and a reason", a.Detail, a.Reason, c.detail)
			}
		})
	}
	var q dispatch.QueueExplanation
	status, body, err := f.Explain(ctx, 0, "queues/"+queue)
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &q) != nil || q.Jobs != 0 {
		t.Errorf("queue after the questions: got status %d, %s and %v, want no job", status, body, err)
	}
	t.Run("an unknown job", func(t *testing.T) {
		var a placementAnswer
		_, body, err := f.Explain(ctx, 0, "jobs/00000000000000ff")
		if err != nil || json.Unmarshal(body, &a) != nil || a.Reason != message.ReasonNotFound {
			t.Errorf("problem: got %s and %v, want one with the reason that verbenactl needs for its exit code", body, err)
		}
	})
}
