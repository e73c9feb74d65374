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

// probeResults bounds the results of probes that wait for a lane; a pool has far fewer ejected instances.
const probeResults = 1024

// probed is the result of a probe.
type probed struct {
	instance string
	good     bool
}

// probeClient opens a connection for each probe, since a kept one says nothing about whether new ones are accepted.
var probeClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// probe asks ejected instances whether they answer, so that no caller's request has to find out.
func (l *lane) probe(now time.Time) {
	l.probes = l.router.Probes(now, l.probes[:0])
	for _, id := range l.probes {
		t, found := l.targets[id]
		if !found {
			l.router.Probed(now, id, false)
			continue
		}
		addr := t.backend.Load().addr
		l.entry.group.Go(func() error {
			good := answers(l.entry.working, addr)
			// A result that does not fit is a probe that the router repeats.
			_ = l.results.Offer(probed{instance: id, good: good})
			return nil
		})
	}
}

// answers reports whether a backend server sends a complete response of any status to OPTIONS *, which runs nothing.
func answers(ctx context.Context, addr netip.AddrPort) bool {
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
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHead))
	return err == nil
}
