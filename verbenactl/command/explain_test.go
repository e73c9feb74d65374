package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
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
