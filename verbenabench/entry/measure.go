package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	// pacedWorkers and pacedEvery result in 3,200 requests per second, a load without queueing on the machine.
	pacedWorkers     = 16
	pacedEvery       = 5 * time.Millisecond
	saturatedWorkers = 64
	bodySize         = 512
)

// pathTotals holds the totals of all rounds of one path.
type pathTotals struct {
	latency           *hdrhistogram.Histogram
	saturatedRequests int64
	elapsed           time.Duration
	mallocs           uint64
	errors            atomic.Int64
}

// measure alternates between the paths, so that other load on the machine affects all of them.
func measure(ctx context.Context, phase time.Duration, random *rand.Rand) ([]Row, error) {
	serving, stop := context.WithCancel(ctx)
	var g errgroup.Group
	paths, err := startPaths(serving, &g)
	if err != nil {
		stop()
		return nil, err
	}
	client := &http.Client{Transport: transport()}
	totals := make([]*pathTotals, len(paths))
	for i := range totals {
		totals[i] = &pathTotals{latency: hdrhistogram.New(1, int64(time.Minute), 3)}
	}
	for i, p := range paths {
		saturate(ctx, client, p, phase/2, &pathTotals{latency: totals[i].latency})
		totals[i].latency.Reset()
	}
	for range rounds {
		for _, i := range random.Perm(len(paths)) {
			pace(ctx, client, paths[i], phase, totals[i])
			saturate(ctx, client, paths[i], phase, totals[i])
		}
	}
	client.CloseIdleConnections()
	stop()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, http.ErrServerClosed) {
		return nil, err
	}
	return summarize(paths, totals), nil
}

func summarize(paths []path, totals []*pathTotals) []Row {
	rows := make([]Row, len(paths))
	for i, s := range totals {
		rows[i] = Row{
			Path:       paths[i].name,
			P50:        milliseconds(s.latency.ValueAtQuantile(50)),
			P99:        milliseconds(s.latency.ValueAtQuantile(99)),
			Throughput: float64(s.saturatedRequests) / s.elapsed.Seconds(),
			Requests:   s.saturatedRequests + s.latency.TotalCount(),
			Errors:     s.errors.Load(),
		}
		rows[i].Allocations = float64(s.mallocs) / float64(max(s.saturatedRequests, 1))
		if i > 0 {
			rows[i].Allocations -= rows[0].Allocations
			rows[i].AddedP50 = rows[i].P50 - rows[0].P50
			rows[i].AddedP99 = rows[i].P99 - rows[0].P99
		}
	}
	rows[0].Allocations = 0
	return rows
}

func milliseconds(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

// pace sends requests at a fixed rate and records their latencies.
func pace(ctx context.Context, client *http.Client, p path, phase time.Duration, s *pathTotals) {
	histograms := make([]*hdrhistogram.Histogram, pacedWorkers)
	var g errgroup.Group
	end := time.Now().Add(phase)
	for n := range pacedWorkers {
		h := hdrhistogram.New(1, int64(time.Minute), 3)
		histograms[n] = h
		g.Go(func() error {
			next := time.Now().Add(pacedEvery * time.Duration(n) / pacedWorkers)
			for k := n; next.Before(end) && ctx.Err() == nil; k++ {
				time.Sleep(time.Until(next))
				next = next.Add(pacedEvery)
				start := time.Now()
				if err := send(ctx, client, p.urls[k%len(p.urls)]); err != nil {
					s.errors.Add(1)
				}
				_ = h.RecordValue(int64(time.Since(start)))
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, h := range histograms {
		s.latency.Merge(h)
	}
}

// saturate sends requests without pauses and counts requests and allocations.
func saturate(ctx context.Context, client *http.Client, p path, phase time.Duration, s *pathTotals) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var count atomic.Int64
	var g errgroup.Group
	start := time.Now()
	end := start.Add(phase)
	for n := range saturatedWorkers {
		g.Go(func() error {
			for k := n; time.Now().Before(end) && ctx.Err() == nil; k++ {
				if err := send(ctx, client, p.urls[k%len(p.urls)]); err != nil {
					s.errors.Add(1)
				}
				count.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	s.elapsed += time.Since(start)
	s.saturatedRequests += count.Load()
	runtime.ReadMemStats(&after)
	s.mallocs += after.Mallocs - before.Mallocs
}

var payload = bytes.Repeat([]byte("x"), bodySize)

func send(ctx context.Context, client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/sizeMatch", bytes.NewReader(payload))
	if err != nil {
		return err
	}
	r.Header["Verbena-Class"] = []string{"urgent"}
	r.Header["Verbena-Team"] = []string{"fitting"}
	r.Header["Content-Type"] = []string{"text/plain"}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || n < bodySize) {
		return fmt.Errorf("unexpected response: status %d with %d bytes", response.StatusCode, n)
	}
	return err
}
