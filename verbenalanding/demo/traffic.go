package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/declaration"
)

// phase is a part of the demonstration's traffic.
type phase int32

const (
	calm phase = iota
	flood
	afterFlood
	phaseCount
)

const (
	// calmLoadPercent is the mean offered load of each service as a percentage of its share of the pool.
	calmLoadPercent = 40
	// floodFactor is the ratio of a flooded service's request rate to its mean rate.
	floodFactor = 5
	// maxInFlight bounds the concurrent requests of one deployment's callers.
	maxInFlight = 2000
)

// outcomes counts the answers to one service's requests.
type outcomes struct {
	completed, notRun, unknown, wrongAnswers, lostConnections atomic.Int64
}

// traffic generates the requests of one deployment's callers and counts the outcomes.
type traffic struct {
	deployment   *deployment
	callers      []*http.Client
	phase        atomic.Int32
	inFlight     atomic.Int64
	stopped      chan struct{}
	stopOnce     sync.Once
	counts       map[string]*[phaseCount]outcomes
	requestCount atomic.Int64

	mu sync.Mutex
	// notRunKeys holds the service and body of each request that was refused as not run, by idempotency key.
	notRunKeys map[string]string
	reasons    [phaseCount]map[string]int
}

func newTraffic(d *deployment) *traffic {
	t := &traffic{
		deployment: d,
		callers:    newCallers(),
		stopped:    make(chan struct{}),
		counts:     map[string]*[phaseCount]outcomes{},
		notRunKeys: map[string]string{},
	}
	for name := range d.set.Services {
		t.counts[name] = &[phaseCount]outcomes{}
	}
	for p := range t.reasons {
		t.reasons[p] = map[string]int{}
	}
	return t
}

func (t *traffic) setPhase(p phase) { t.phase.Store(int32(p)) }

// stop makes run stop sending requests and return when those in flight are answered.
func (t *traffic) stop() { t.stopOnce.Do(func() { close(t.stopped) }) }

// floodedServices lists the services whose request rate rises during the flood, which are all except the urgent ones.
func (t *traffic) floodedServices() string {
	var names []string
	for name := range t.deployment.set.Services {
		if t.isFlooded(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (t *traffic) isFlooded(service string) bool {
	s := t.deployment.set.Services[service]
	return s.Class != declaration.Urgent
}

// run sends requests at random intervals, unevenly distributed over the entry instances, until stop is called.
func (t *traffic) run(ctx context.Context) error {
	group := &errgroup.Group{}
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		arrivals := newArrivals(t.deployment.rand.Uint64())
		group.Go(func() error { return t.runService(ctx, name, arrivals) })
	}
	return group.Wait()
}

func (t *traffic) runService(ctx context.Context, name string, arrivals *arrivals) error {
	requests := &errgroup.Group{}
	mean := t.meanInterval(name)
	for {
		interval := mean
		if phase(t.phase.Load()) == flood && t.isFlooded(name) {
			interval /= floodFactor
		}
		select {
		case <-t.stopped:
			return requests.Wait()
		case <-ctx.Done():
			return requests.Wait()
		case <-time.After(arrivals.drawInterval(interval)):
		}
		if t.inFlight.Load() >= maxInFlight {
			continue
		}
		entry := arrivals.drawEntry(dataCentres)
		t.inFlight.Add(1)
		requests.Go(func() error {
			defer t.inFlight.Add(-1)
			t.request(ctx, name, entry)
			return nil
		})
	}
}

// meanInterval returns the mean interval between requests that loads the service's share of its pool to calmLoadPercent.
func (t *traffic) meanInterval(name string) time.Duration {
	s := t.deployment.set.Services[name]
	pool := t.deployment.set.Pools[s.Pool]
	perSecond := float64(pool.Instances*pool.Slots) / requestTime.Seconds() * float64(s.Share) / 100 * calmLoadPercent / 100
	return time.Duration(float64(time.Second) / perSecond)
}

// request sends one request and counts its outcome.
func (t *traffic) request(ctx context.Context, name string, entry int) {
	s := t.deployment.set.Services[name]
	number := t.requestCount.Add(1)
	body := fmt.Sprintf("%s-%d", name, number)
	key := ""
	if !s.Repeatable {
		key = body
	}
	current := phase(t.phase.Load())
	counts := &t.counts[name][current]
	a, err := t.send(ctx, s, entry, key, body)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		counts.lostConnections.Add(1)
	case a.status == http.StatusOK && strings.HasSuffix(a.content, body):
		counts.completed.Add(1)
	case a.status == http.StatusOK:
		counts.wrongAnswers.Add(1)
	case a.Outcome == "notRun":
		counts.notRun.Add(1)
		t.countReason(current, a)
		t.recordNotRun(name, key, body)
	default:
		counts.unknown.Add(1)
		t.countReason(current, a)
	}
}

// recordNotRun records the key of a request that was refused as not run, so that the report can check that it did not run.
func (t *traffic) recordNotRun(service, key, body string) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRunKeys[key] = service + "/" + body
}

func (t *traffic) countReason(p phase, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reasons[p][a.Reason]++
}

// answer is a response to a caller: a result, or a problem with its outcome and reason.
type answer struct {
	status  int
	content string
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func (t *traffic) send(ctx context.Context, s declaration.Service, entry int, key, body string) (answer, error) {
	addr := t.deployment.entries.pick(entry)
	url := fmt.Sprintf("http://%s/v1/services/%s", addr, s.Name)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header.Set("Verbena-Class", string(s.Class))
	r.Header.Set("Verbena-Team", t.team(s.Name))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := t.callers[t.requestCount.Load()%int64(len(t.callers))].Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var content bytes.Buffer
	if _, err := io.Copy(&content, response.Body); err != nil {
		return answer{}, err
	}
	result := answer{status: response.StatusCode, content: content.String()}
	if result.status == http.StatusOK {
		return result, nil
	}
	if err := json.Unmarshal(content.Bytes(), &result); err != nil {
		return answer{}, errors.New("response is neither a result nor a problem document")
	}
	return result, nil
}

// team returns the declared team that sends a service's requests.
func (t *traffic) team(service string) string { return t.deployment.team(len(service)) }

// newCallers returns clients with different source addresses, because rate limits apply to each caller address.
func newCallers() []*http.Client {
	const callers = 40
	var clients []*http.Client
	for i := range callers {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(i+1))}}
		clients = append(clients, &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight, DisableCompression: true,
		}})
	}
	return clients
}

// reasonSummary lists the reasons for which requests of a phase did not complete, with their counts.
func (t *traffic) reasonSummary(p phase) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for reason, n := range t.reasons[p] {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	if len(parts) == 0 {
		return ""
	}
	slices.Sort(parts)
	return " (" + strings.Join(parts, ", ") + ")"
}

// summary lists the outcomes of a phase with their counts.
func (t *traffic) summary(p phase) string {
	var completed, notRun, unknown int64
	for _, c := range t.counts {
		completed += c[p].completed.Load()
		notRun += c[p].notRun.Load()
		unknown += c[p].unknown.Load()
	}
	return fmt.Sprintf("%d completed, %d refused as not run, %d unknown%s", completed, notRun, unknown, t.reasonSummary(p))
}
