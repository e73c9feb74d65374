package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

func intakeNode(out io.Writer) *Node {
	return &Node{Registry: metrics.NewRegistry(), Log: zerolog.New(out), intake: newClientIntake(platform.Settings{MemoryMB: 184, MaxFDs: 4100}, Flags{})}
}

// Guards against a refusal that does not say that nothing has run or when to come back, and against one that leaves no count or too many lines.
func TestRefusedBodyIsExplained(t *testing.T) {
	const requests = 50
	for _, tt := range []struct {
		err    error
		status int
		cause  string
	}{
		{inlet.ErrNoRoom, http.StatusServiceUnavailable, "noRoom"},
		{inlet.ErrGaveWay, http.StatusServiceUnavailable, "gaveWay"},
		{inlet.ErrStalled, http.StatusRequestTimeout, "stalled"},
		{inlet.ErrTooSlow, http.StatusRequestTimeout, "tooSlow"},
		{inlet.ErrTooLarge, http.StatusRequestEntityTooLarge, "tooLarge"},
		{io.ErrUnexpectedEOF, http.StatusBadRequest, ""},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			var lines bytes.Buffer
			n := intakeNode(&lines)
			var w *httptest.ResponseRecorder
			for range requests {
				w = httptest.NewRecorder()
				if got := n.refuseBody(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil), tt.err); got != tt.status {
					t.Errorf("status: got %d, want %d", got, tt.status)
				}
			}
			var p problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Outcome != "notRun" {
				t.Errorf("body: got %s and %v, want the outcome notRun", w.Body, err)
			}
			if got, want := w.Header().Get("Connection"), "close"; got != want {
				t.Errorf("Connection: got %q, want %q", got, want)
			}
			if got, want := w.Header().Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable; got != want {
				t.Errorf("Retry-After: got %v, want %v", got, want)
			}
			if tt.cause == "" {
				return
			}
			wantMetrics(t, n, []string{`verbena_refusals_total{kind="entry-` + tt.cause + `"} 50`}, nil)
			// The lines may fall into two seconds.
			if got := strings.Count(lines.String(), `"cause":"`+tt.cause+`"`); got < 1 || got > 2*intakeLines {
				t.Errorf("log lines: got %d, want 1 to %d", got, 2*intakeLines)
			}
		})
	}
}

// Guards against limits of the smallest machines that leave the process no descriptors for its own connections, or more memory to clients than it
// has.
func TestLimitsLeaveRoomForTheProcess(t *testing.T) {
	for _, s := range []platform.Settings{{}, {MemoryMB: 184, MaxFDs: 4100}, {MemoryMB: 64, MaxFDs: 500}, {MemoryMB: 8, MaxFDs: 1}, {MemoryMB: 1 << 40, MaxFDs: 1 << 20}} {
		i := newClientIntake(s, Flags{})
		connections := 0
		for name, limit := range i.connections {
			connections += limit
			if limit < 1 {
				t.Errorf("%d MB, %d descriptors: got %d connections of %s, want 1 or more", s.MemoryMB, s.MaxFDs, limit, name)
			}
		}
		if s.MaxFDs > reservedFDs && connections > (s.MaxFDs-reservedFDs)*3/4 {
			t.Errorf("%d descriptors: got %d connections of clients, want at most three quarters of %d", s.MaxFDs, connections, s.MaxFDs-reservedFDs)
		}
		taken := i.bodies.Settings.Bytes + i.jobs.Settings.Bytes + i.messages.Settings.Bytes + i.calls.Settings.Bytes + i.noticeBytes
		if limit := s.MemoryMB << 20; limit > 0 && (taken <= 0 || taken > limit/2) {
			t.Errorf("%d MB: got %d bytes for clients, want at most half", s.MemoryMB, taken)
		}
	}
}

// Guards against a limit that no process can keep, or that takes all of its memory.
func TestIntakeFlagsAreChecked(t *testing.T) {
	if err := (IntakeFlags{}).check(); err != nil {
		t.Errorf("defaults: got %v, want none", err)
	}
	for _, f := range []IntakeFlags{
		{BodyMemory: 26},
		{BodyMemory: -1},
		{JobMemory: 26},
		{PeerMemory: 26},
		{Connections: -1},
		{Connections: 1 << 20},
		{BodyStall: time.Millisecond},
		{BodyTimeout: time.Hour},
		{AnswerTimeout: -time.Second},
	} {
		if err := f.check(); !errors.Is(err, ErrFlags) {
			t.Errorf("%+v: got %v, want %v", f, err, ErrFlags)
		}
	}
}

// Guards against clients that make the process keep a histogram for each method that they think of.
func TestUnknownMethodsShareOneMetric(t *testing.T) {
	n := intakeNode(io.Discard)
	n.View = viewOfQueue(t, "a", "/q/")
	for _, method := range []string{"ALPHA", "BETA", "post", http.MethodPut} {
		n.handle(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), method, "http://a/q/5c0e7a21d94b36f8", nil))
	}
	wantMetrics(t, n, []string{`verbena_requests_seconds_count{kind="other.405"} 4`}, []string{"alpha", "beta", "post.405"})
}

// viewOfQueue returns a view whose configuration has one queue.
func viewOfQueue(t testing.TB, host, prefix string) *View {
	t.Helper()
	configuration, err := json.Marshal(wire.Configuration{
		Version: 1, Services: []wire.Service{{Name: "p"}}, Routes: []wire.Route{{Name: "q", Hostname: host, Prefix: prefix, Backend: "p"}},
		Limits: wire.Limits{MaxBodyBytes: 256 << 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	v := newView(nil, zerolog.Nop(), monotonic.New())
	v.OnChange = func() {}
	v.configure(configuration)
	return v
}

// Guards against a caller that keeps a request open for as long as it likes, and against a usual deadline that is cut short.
func TestDeadlineIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultDeadline, "0": defaultDeadline, "a": defaultDeadline, "3000": 3 * time.Second, "60000": time.Minute, "3600000": maxDeadline, "9223372036854775807": maxDeadline,
	} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
		r.Header.Set(platform.DeadlineHeader, text)
		if got := deadline(r); got != want {
			t.Errorf("deadline %q: got %v, want %v", text, got, want)
		}
	}
}
