package command

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an explanation that an operator cannot read: the reason, the time and the basis of the estimate must be in the text.
func TestExplanationsAsText(t *testing.T) {
	const job = `{"job":"00000000000000aa","queue":"q1","pool":"cutting","state":"queued","reason":"noCapacity","since":"2026-12-05T10:00:00Z",` +
		`"waiting":3,"running":1,"jobsBefore":2,"workBefore":64,"cores":32,"freeCores":1.5,"estimatedStart":"2026-12-05T10:00:02Z","basis":"64 core-seconds"}`
	const jobText = "job 00000000000000aa of queue q1 in pool cutting is queued\n" +
		"reason: noCapacity; 3 tasks wait, 1 are running\n" +
		"waiting since 2026-12-05T10:00:00Z\n" +
		"placed before it: 2 jobs, 64.0 core-seconds; 1.5 of 32.0 cores are free\n" +
		"estimated start: 2026-12-05T10:00:02Z\n" +
		"basis: 64 core-seconds\n"
	const unconfirmed = `{"job":"00000000000000bb","queue":"q1","pool":"cutting","state":"queued","reason":"unconfirmed","unconfirmed":2,"cores":32,"basis":"starts"}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/operator/jobs/00000000000000aa":
			_, _ = w.Write([]byte(job))
		case "/operator/jobs/00000000000000bb":
			_, _ = w.Write([]byte(unconfirmed))
		case "/operator/queues/q1":
			_, _ = w.Write([]byte(`{"queue":"q1","pool":"cutting","jobs":5,"reasons":{"noCapacity":2,"label":1},"longest":` + job + `}`))
		case "/operator/workspaces/fitters":
			_, _ = w.Write([]byte(`{"workspace":"fitters","weight":2,"limit":{"cpu":100000,"memoryMb":5000},"record":{"version":1,"limit":{"cpu":100000,"memoryMb":5000},"pools":` +
				`{"cutting":{"grant":{"cpu":60000,"memoryMb":3000},"want":{"cpu":80000}},"billing":{"grant":{"cpu":40000}}}}}`))
		default:
			http.NotFound(w, r)
		}
	}))
	defer server.Close()
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"job", "00000000000000aa"}, jobText},
		{[]string{"job", "00000000000000bb"}, "job 00000000000000bb of queue q1 in pool cutting is queued\n" +
			"reason: unconfirmed; 0 tasks wait, 0 are running, 2 are not confirmed\n" +
			"placed before it: 0 jobs, 0.0 core-seconds; 0.0 of 32.0 cores are free\nbasis: starts\n"},
		{[]string{"queue", "q1"}, "queue q1 in pool cutting: 5 jobs\n1 wait: label\n2 wait: noCapacity\nlongest:\n" + jobText},
		{[]string{"workspace", "fitters"}, "workspace fitters, weight 2, may run 100.0 cores, 5000 MB\npool billing may run 40.0 cores\n" +
			"pool cutting may run 60.0 cores, 3000 MB, wants 80.0 cores\nall pools may run 100.0 cores, 3000 MB\n"},
	} {
		t.Run(c.args[0]+" "+c.args[1], func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Run(append([]string{"--server", server.URL}, c.args...), Streams{Out: &out, Err: &errOut})
			equal(t, "exit code", code, ExitOK)
			equal(t, "text", out.String(), c.want)
		})
	}
}

// Guards against an answer about a placement that an operator cannot read, and against a job that is sent to the queue itself.
func TestPlacementAsText(t *testing.T) {
	const answer = `{"queue":"q1","pool":"cutting","time":"2026-12-05T10:00:00Z","workspace":"fitters","owed":true,"refusal":{"cause":"backlog","waitSeconds":7,"usefulSeconds":6.1,` +
		`"retryAfterSeconds":8},"jobsBefore":2,"workBefore":64,"cores":32,"freeCores":1.5,"reason":"noCapacity","estimatedStart":"2026-12-05T10:00:00Z","basis":"1 tasks start with the next plan",` +
		`"steps":[{"step":0,"tasks":3,"starts":[{"task":0,"worker":"w1","dataCentre":"a","rack":"r1","score":0.25}],"waiting":2,"reason":"noCapacity","basis":"64 core-seconds"},` +
		`{"step":1,"tasks":1,"after":[0],"waiting":1,"reason":"earlierSteps","basis":"step 1 waits for steps [0]"}],"holder":"n1","configuration":7}`
	const text = "a job of queue q1 in pool cutting, workspace fitters, owed\n" +
		"as of 2026-12-05T10:00:00Z, by n1 with configuration 7\n" +
		"the call would be refused: backlog; what goes before takes 7.0 s, a start is of use for 6.1 s; Retry-After 8 s\nif it were taken:\n" +
		"placed before it: 2 jobs, 64.0 core-seconds; 1.5 of 32.0 cores are free\n" +
		"step 0: 1 of 3 tasks start now, 2 wait: noCapacity (64 core-seconds)\n" +
		"  task 0 on w1, data centre a, rack r1, score 0.250\n" +
		"step 1: 0 of 1 tasks start now, 1 wait: earlierSteps (step 1 waits for steps [0])\n" +
		"estimated start: 2026-12-05T10:00:00Z\nbasis: 1 tasks start with the next plan\n"
	var sent string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sent = r.Method + " " + r.URL.String() + " " + string(body)
		if r.URL.Path == "/operator/queues/q1/placement" {
			_, _ = w.Write([]byte(answer))
			return
		}
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"title":"Not Found","status":404,"detail":"queue \"q2\": no such queue","reason":"notFound"}`))
	}))
	defer server.Close()
	run := func(t *testing.T, wantCode int, args ...string) (out, errOut bytes.Buffer) {
		t.Helper()
		code := Run(append([]string{"--server", server.URL}, args...), Streams{In: strings.NewReader("{}"), Out: &out, Err: &errOut})
		equal(t, "exit code", code, wantCode)
		return out, errOut
	}
	t.Run("text", func(t *testing.T) {
		out, _ := run(t, ExitOK, "place", "--queue", "q1", "--workspace", "fitters", "-f", "-")
		equal(t, "text", out.String(), text)
		equal(t, "call", sent, "POST /operator/queues/q1/placement?workspace=fitters {}")
	})
	t.Run("JSON", func(t *testing.T) {
		out, _ := run(t, ExitOK, "--json", "place", "--queue", "q1", "-f", "-")
		var got, want any
		equal(t, "answer is JSON", json.Unmarshal(out.Bytes(), &got) == nil && json.Unmarshal([]byte(answer), &want) == nil, true)
		equal(t, "time", got.(map[string]any)["time"], want.(map[string]any)["time"])
	})
	t.Run("an unknown queue", func(t *testing.T) {
		_, errOut := run(t, ExitNotFound, "place", "--queue", "q2", "-f", "-")
		equal(t, "error", strings.HasPrefix(errOut.String(), `verbenactl: queue "q2": no such queue; `), true)
	})
	for _, args := range [][]string{{"place", "-f", "-"}, {"place", "--queue", "q1"}, {"place", "--queue", "q1", "-f", "/nonexistent/job"}, {"place", "--queue", "q1", "-f", "-", "extra"}} {
		t.Run("command line "+strings.Join(args[1:], " "), func(t *testing.T) { run(t, ExitUsage, args...) })
	}
}
