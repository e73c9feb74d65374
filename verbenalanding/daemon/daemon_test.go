package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/sample"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/verbenalanding/settings"
)

var loopback = settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}

// process is a running daemon.
type process struct {
	*Daemon
	cancel context.CancelFunc
	group  *errgroup.Group
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	if err := p.group.Wait(); err != nil {
		t.Fatalf("stop: got %v, want none", err)
	}
}

func startSite(t *testing.T) *standin.Site {
	t.Helper()
	s := &standin.Site{Name: "cascade", Instances: 49, DataCentres: 3, Slots: 8, Connections: 64, ServiceTime: 5 * time.Millisecond, RebootTime: 200 * time.Millisecond}
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("site: got %v, want none", err)
		}
	})
	return s
}

func start(t *testing.T, s *standin.Site, id string, peers ...netip.AddrPort) *process {
	t.Helper()
	return startWithStore(t, s, s.Store, id, peers...)
}

func startWithStore(t *testing.T, s *standin.Site, recordStore store.Store, id string, peers ...netip.AddrPort) *process {
	t.Helper()
	d := &Daemon{
		Settings: settings.Settings{ID: id, DataCentre: "dc1", Entries: 3, CallerAddr: loopback, OperatorAddr: loopback, PeerAddr: loopback, TokensFile: tokensFile(t)},
		Timing:   MaintenanceTiming{Step: 200 * time.Millisecond, DrainPoll: 100 * time.Millisecond, Check: 300 * time.Millisecond, SpareDelay: time.Second, ClockSkew: 100 * time.Millisecond},
		Log:      zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel),
		Store:    recordStore,
		Platform: s.Platform(),
	}
	for _, p := range peers {
		d.Settings.Peers = append(d.Settings.Peers, settings.Address{AddrPort: p})
	}
	if err := d.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Daemon: d, cancel: cancel, group: &errgroup.Group{}}
	p.group.Go(func() error { return d.Run(ctx) })
	return p
}

const token = "a-token-that-is-long-enough-for-tests"

func tokensFile(t *testing.T) string {
	t.Helper()
	hash, err := operator.HashToken(token)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "tokens.json")
	text := fmt.Sprintf(`[{"name":"test","role":"operator","hash":%q}]`, hash)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func eventually(t *testing.T, name string, within time.Duration, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: got no, want yes within %s", name, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func apply(t *testing.T, s store.Store, id string, change func(*declaration.Set)) {
	t.Helper()
	l := &configuration.Log{Store: s, Validate: declaration.Validate, Now: time.Now}
	if err := l.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	set, revision, err := l.Current()
	if err != nil {
		t.Fatal(err)
	}
	next := set.Apply(declaration.Delta{})
	change(&next)
	if _, err := l.Propose(context.Background(), configuration.Change{ID: id, Base: revision, By: "test", Delta: declaration.Diff(set, next)}); err != nil {
		t.Fatal(err)
	}
}

// applySample applies the declarations of the cascade sample, with paused waves, as the first change and returns them.
func applySample(t *testing.T, s store.Store) declaration.Set {
	t.Helper()
	set, err := sample.Set("cascade")
	if err != nil {
		t.Fatal(err)
	}
	set.PauseWaves()
	apply(t, s, "first", func(next *declaration.Set) { *next = set })
	return set
}

func instances(t *testing.T, s store.Store) []record.Instance {
	t.Helper()
	all, err := record.List[record.Instance](context.Background(), s, record.InstancePrefix)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func inService(t *testing.T, s store.Store) map[string]int {
	t.Helper()
	count := map[string]int{}
	for _, i := range instances(t, s) {
		if i.State == "inService" {
			count[i.Pool]++
		}
	}
	return count
}

func call(addr netip.AddrPort, service, class, key, body string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/services/%s", addr, service), strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Verbena-Class", class)
	r.Header.Set("Verbena-Team", "fitting")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	_, err = content.ReadFrom(response.Body)
	return response.StatusCode, content.String(), err
}

func ready(p *process) bool {
	response, err := http.Get(fmt.Sprintf("http://%s/readyz", p.CallerAddr()))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Guards the end-to-end path: declarations reach every entry instance, pools are filled, requests are answered, and a request with an
// idempotency key runs only once.
func TestEndToEnd(t *testing.T) {
	s := startSite(t)
	processes := []*process{start(t, s, "e1"), start(t, s, "e2"), start(t, s, "e3")}
	for _, p := range processes {
		defer p.stop(t)
	}
	set := applySample(t, s.Store)
	eventually(t, "pools are filled", 20*time.Second, func() bool {
		count := inService(t, s.Store)
		for name, pool := range set.Pools {
			if count[name] != pool.Instances {
				return false
			}
		}
		return true
	})
	for _, p := range processes {
		eventually(t, "ready", 5*time.Second, func() bool { return ready(p) })
		status, body, err := call(p.CallerAddr(), "sizeMatch", "urgent", "", "hello")
		if err != nil || status != http.StatusOK || !strings.HasSuffix(body, "hello") {
			t.Fatalf("call: got %d %q %v, want 200 and the body of the request", status, body, err)
		}
	}
	for i, p := range processes {
		status, body, err := call(p.CallerAddr(), "alterationCharge", "standard", "key-1", "charge")
		want := http.StatusConflict
		if i == 0 {
			want = http.StatusOK
		}
		if err != nil || status != want {
			t.Fatalf("charge at entry instance %d: got %d %q %v, want %d", i+1, status, body, err, want)
		}
	}
	if got := s.Executions.KeyRuns("alterationCharge", "key-1"); got != 1 {
		t.Fatalf("executions of one key: got %d, want 1", got)
	}
}
