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

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/logs"
)

// anyone is a caller where callers need no key.
var anyone = caller{unrestricted: true}

const (
	keyedPath     = "/recut/"
	anonymousPath = "/open/"
	hemlineKey    = "hemline-key-1"
	seamKey       = "seam-key-1"
	// unconfirmedAge is an age of the configuration at which its keys count as valid no longer.
	unconfirmedAge = 10 * time.Second
)

// keyFixture is a node without a store that has a configuration with two workspaces, a queue with keys and an anonymous one.
type keyFixture struct {
	*Node
	logged bytes.Buffer
}

func newKeyFixture(t *testing.T) *keyFixture {
	t.Helper()
	f := &keyFixture{}
	clock, log := monotonic.New(), zerolog.New(&f.logged)
	f.Node = &Node{
		Log: log, Clock: clock, Registry: metrics.NewRegistry(), View: newView(nil, log, clock), refusals: logs.Budget{PerSecond: refusalLines},
		Elector:  &leadership.Elector{Clock: clock.Now},
		Settings: platform.Settings{Workspaces: true, Bounds: platform.Bounds{Configuration: 3 * time.Second, ConfigurationSkew: 6 * time.Second}},
	}
	f.View.Workspaces, f.View.OnChange = true, func() {}
	f.configure(t, 1, []wire.Tenant{{Name: "hemline", APIKeys: []string{hemlineKey}}, {Name: "seam", APIKeys: []string{seamKey}}})
	return f
}

func (f *keyFixture) configure(t *testing.T, version int64, tenants []wire.Tenant) {
	t.Helper()
	value, err := json.Marshal(wire.Configuration{Version: version, Tenants: tenants, Routes: []wire.Route{
		{Name: "recut", Hostname: "fleet.example", Prefix: keyedPath, Backend: "cutting"},
		{Name: "open", Hostname: "fleet.example", Prefix: anonymousPath, Backend: "cutting", Anonymous: true},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if !f.View.configure(value) {
		t.Fatal("configuration: got it rejected, want it in force")
	}
}

func (f *keyFixture) setAge(age time.Duration) {
	at := f.Clock.Now().Add(-age)
	f.View.confirmedAt.Store(&at)
}

// unreadBody fails the test when a request's body is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("body of a refused request: got it read, want it left alone")
	return 0, io.EOF
}

// request sends a request with an invalid id, so that one that passes the check is answered 400, without a call to the store.
func (f *keyFixture) request(t *testing.T, method, path string, authorization ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path+"no-id", unreadBody{t})
	r.Host = "fleet.example"
	for _, a := range authorization {
		r.Header.Add(platform.KeyHeader, a)
	}
	w := httptest.NewRecorder()
	f.handle(w, r)
	return w
}

// Guards against a request that runs with a key that no configuration holds, a valid key that is refused, a refusal by a configuration that may be out
// of date, and a key that may have been removed and is still accepted.
func TestKeyIsCheckedByTheConfigurationInForce(t *testing.T) {
	const passed, bearer = http.StatusBadRequest, "Bearer "
	for _, tt := range []struct {
		name          string
		path          string
		authorization []string
		age           time.Duration
		want          int
		outcome       keyOutcome
	}{
		{"valid key", keyedPath, []string{bearer + hemlineKey}, 0, passed, keyAccepted},
		{"other workspace's key", keyedPath, []string{bearer + seamKey}, 0, passed, keyAccepted},
		{"no key", keyedPath, nil, 0, http.StatusUnauthorized, keyMissing},
		{"unknown key", keyedPath, []string{bearer + "other"}, 0, http.StatusUnauthorized, keyUnknown},
		{"part of a key", keyedPath, []string{bearer + hemlineKey[:5]}, 0, http.StatusUnauthorized, keyUnknown},
		{"empty key", keyedPath, []string{bearer}, 0, http.StatusUnauthorized, keyUnknown},
		{"other scheme", keyedPath, []string{"Basic " + hemlineKey}, 0, http.StatusUnauthorized, keyUnknown},
		{"two keys", keyedPath, []string{bearer + hemlineKey, bearer + hemlineKey}, 0, http.StatusUnauthorized, keyUnknown},
		{"anonymous without a key", anonymousPath, nil, 0, passed, keyNotNeeded},
		{"anonymous with a valid key", anonymousPath, []string{bearer + hemlineKey}, 0, passed, keyAccepted},
		{"anonymous with an unknown key", anonymousPath, []string{bearer + "other"}, 0, http.StatusUnauthorized, keyUnknown},
		{"unknown key, perhaps new", keyedPath, []string{bearer + "other"}, staleAfter + time.Second, http.StatusServiceUnavailable, keyUnknownPerhaps},
		{"no key, queue perhaps anonymous", keyedPath, nil, staleAfter + time.Second, http.StatusServiceUnavailable, keyUnknownPerhaps},
		{"valid key, configuration old", keyedPath, []string{bearer + hemlineKey}, staleAfter + time.Second, passed, keyAccepted},
		{"valid key, perhaps removed", keyedPath, []string{bearer + hemlineKey}, unconfirmedAge, http.StatusServiceUnavailable, keyRemovedPerhaps},
		{"anonymous without a key, not confirmed", anonymousPath, nil, unconfirmedAge, passed, keyNotNeeded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newKeyFixture(t)
			f.setAge(tt.age)
			w := f.request(t, http.MethodPost, tt.path, tt.authorization...)
			wantStatus(t, "request", w.Code, tt.want)
			wantMetrics(t, f.Node, []string{`verbena_keys_total{kind="` + string(tt.outcome) + `"} 1`}, nil)
			if got, want := w.Header().Get("WWW-Authenticate") == "Bearer", tt.want == http.StatusUnauthorized; got != want {
				t.Errorf("challenge: got %v, want %v", got, want)
			}
			if got, want := w.Header().Get("Retry-After") != "", tt.want == http.StatusServiceUnavailable; got != want {
				t.Errorf("Retry-After: got %v, want %v", got, want)
			}
			if !strings.Contains(w.Body.String(), `"outcome":"notRun"`) {
				t.Errorf("body: got %s, want a problem with the outcome notRun", w.Body)
			}
			if got := strings.Contains(f.logged.String(), "request refused: no valid key"); got != (tt.want != passed) {
				t.Errorf("log: got a line %v, want one for a refused request only: %s", got, &f.logged)
			}
		})
	}
}

// Guards against calls other than a submission that pass without a key.
func TestEachCallNeedsAKey(t *testing.T) {
	f := newKeyFixture(t)
	f.setAge(0)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodPut} {
		wantStatus(t, method, f.request(t, method, keyedPath).Code, http.StatusUnauthorized)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, keyedPath, nil)
	r.Host = "fleet.example"
	f.handle(w, r)
	wantStatus(t, "number of pending jobs", w.Code, http.StatusUnauthorized)
}

// Guards against a key that stays valid on an open connection after its removal, or becomes valid only on a new one, and against a node that returns
// to a removed key when it receives an older configuration from another node.
func TestKeysFollowTheConfiguration(t *testing.T) {
	f := newKeyFixture(t)
	f.setAge(0)
	status := func(key string) int { return f.request(t, http.MethodPost, keyedPath, "Bearer "+key).Code }
	wantStatus(t, "key before its removal", status(hemlineKey), http.StatusBadRequest)
	wantStatus(t, "key before its addition", status("hemline-key-2"), http.StatusUnauthorized)
	old := f.View.routes().source
	f.configure(t, 2, []wire.Tenant{{Name: "hemline", APIKeys: []string{"hemline-key-2"}}})
	if !f.View.configure(old) {
		t.Error("older configuration: got it rejected, want it ignored")
	}
	wantStatus(t, "key after its removal", status(hemlineKey), http.StatusUnauthorized)
	wantStatus(t, "key of a removed workspace", status(seamKey), http.StatusUnauthorized)
	wantStatus(t, "key after its addition", status("hemline-key-2"), http.StatusBadRequest)
	f.configure(t, 3, nil)
	wantStatus(t, "no key without workspaces", f.request(t, http.MethodPost, keyedPath).Code, http.StatusBadRequest)
}

// Guards against a deployment without keys that refuses calls because its configuration names workspaces.
func TestCallersNeedNoKeyWithoutTheContract(t *testing.T) {
	f := newKeyFixture(t)
	f.View.Workspaces = false
	f.configure(t, 2, []wire.Tenant{{Name: "hemline", APIKeys: []string{hemlineKey}}})
	f.setAge(unconfirmedAge)
	wantStatus(t, "no key", f.request(t, http.MethodPost, keyedPath).Code, http.StatusBadRequest)
}

// Guards against a key in a log line, a metric or an answer, also when the configuration that holds it is refused.
func TestKeysAreNotWritten(t *testing.T) {
	f := newKeyFixture(t)
	f.setAge(0)
	answers := ""
	for _, key := range []string{hemlineKey, "unknown-key-7"} {
		answers += f.request(t, http.MethodPost, keyedPath, "Bearer "+key).Body.String()
	}
	value, err := json.Marshal(wire.Configuration{Version: 4, Tenants: []wire.Tenant{{Name: "a", APIKeys: []string{seamKey}}, {Name: "b", APIKeys: []string{seamKey}}}})
	if err != nil {
		t.Fatal(err)
	}
	if f.View.configure(value) {
		t.Error("configuration with a key of two workspaces: got it in force, want it rejected")
	}
	if got := f.View.Configuration().Version; got != 1 {
		t.Errorf("version after a rejected one: got %d, want 1", got)
	}
	w := httptest.NewRecorder()
	f.metrics(w, nil)
	for _, key := range []string{hemlineKey, "unknown-key-7", seamKey} {
		for where, text := range map[string]string{"log": f.logged.String(), "metrics": w.Body.String(), "answers": answers} {
			if strings.Contains(text, key) {
				t.Errorf("%s: got the key %s in %s, want none", where, key, text)
			}
		}
	}
}

// Guards against a node without bounds in its settings that refuses valid keys between two answers of an undisturbed watch.
func TestKeysAreValidWithoutBounds(t *testing.T) {
	if got := (&Node{}).maxKeyAge(); got < staleAfter {
		t.Errorf("age: got %v, want %v or more", got, staleAfter)
	}
}

// BenchmarkKeyCheck measures the check of one request's key among the keys of 280 workspaces; it shall take under 1 µs.
func BenchmarkKeyCheck(b *testing.B) {
	var list []workload.Workspace
	for i := range 280 {
		w := workload.Workspace{Name: "w" + string(rune('a'+i%26))}
		for j := range 4 {
			w.Keys = append(w.Keys, workload.DigestKey(strings.Repeat("k", 20)+string(rune(i))+string(rune(j))))
		}
		list = append(list, w)
	}
	keys := newKeyring(list)
	known := strings.Repeat("k", 20) + string(rune(7)) + string(rune(2))
	for name, want := range map[string]keyOutcome{known: keyAccepted, "unknown-key-of-some-length": keyUnknown} {
		b.Run(string(want), func(b *testing.B) {
			r := httptest.NewRequest(http.MethodGet, keyedPath, nil)
			r.Header.Set(platform.KeyHeader, "Bearer "+name)
			var queue workload.Queue
			b.ReportAllocs()
			for b.Loop() {
				if _, got := keys.check(r, &queue, 0, time.Second); got != want {
					b.Fatal(errors.New(string(got)))
				}
			}
		})
	}
}
