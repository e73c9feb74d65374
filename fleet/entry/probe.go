package entry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"verbenalanding.example/fleet/routing"
)

// maxProbeResults bounds the probe results that wait for a pool's loop; a pool has far fewer ejected instances.
const maxProbeResults = 1024

// probeResult is the result of a probe.
type probeResult struct {
	instance   string
	responsive bool
}

// probeClient opens a connection for each probe, since a reused one does not show whether new ones are accepted.
var probeClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// probe probes ejected and suspected instances, so that no caller's request is used as a test.
func (l *poolLoop) probe(now time.Time) {
	l.probes = l.router.Probes(now, l.probes[:0])
	for _, id := range l.probes {
		t, found := l.targets[id]
		if !found {
			l.router.Probed(now, id, false)
			continue
		}
		addr := t.backend.Load().addr
		l.entry.group.Go(func() error {
			responsive := answersProbe(l.entry.runCtx, addr)
			// The result is dropped if the queue is full; maxProbeResults is far above the number of probes.
			_ = l.results.Offer(probeResult{instance: id, responsive: responsive})
			return nil
		})
	}
}

// answersProbe reports whether a backend server sends a complete response of any status to OPTIONS *, which executes nothing.
func answersProbe(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, routing.ProbeTimeout)
	defer cancel()
	r := &http.Request{
		Method: http.MethodOptions,
		URL:    &url.URL{Scheme: "http", Host: addr.String(), Opaque: "*"},
		Host:   addr.String(),
		Header: http.Header{},
	}
	response, err := probeClient.Do(r.WithContext(ctx))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseHeader))
	return err == nil
}
