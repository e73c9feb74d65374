package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

// instances is the size of the fitting desk's pool.
const instances = 9

// path is one path to the backend servers: direct, forwarder or entry.
type path struct {
	name string
	urls []string
}

// configuration is the configuration of the measured service.
type configuration struct{ set *declaration.Set }

func (c configuration) Current() (*declaration.Set, uint64, bool) { return c.set, 1, true }

// noClaims refuses all claims. The measured service is repeatable and makes none.
type noClaims struct{}

func (noClaims) Claim(context.Context, claim.Request) (claim.Answer, error) {
	return claim.Answer{Decision: claim.Refused}, nil
}

func (noClaims) Finish(context.Context, claim.Finish) error { return nil }

func measuredSet() *declaration.Set {
	return &declaration.Set{
		Pools: map[string]declaration.Pool{"fittingDesk": {Name: "fittingDesk", Instances: instances, Slots: 8, Connections: 64}},
		Services: map[string]declaration.Service{"sizeMatch": {
			Name: "sizeMatch", Pool: "fittingDesk", Class: declaration.Urgent, Deadline: 2 * time.Second, Repeatable: true,
			MaxRequest: 64 << 10, MaxAnswer: 64 << 10, Share: 100,
		}},
	}
}

// startPaths starts the backend servers, the forwarder and the entry instance in the group.
func startPaths(ctx context.Context, g *errgroup.Group) ([]path, error) {
	direct := path{name: "direct"}
	var records []record.Instance
	log := &standin.ExecutionLog{}
	for n := range instances {
		b := &standin.Backend{Log: log}
		if err := b.Listen(); err != nil {
			return nil, err
		}
		g.Go(func() error { return b.Run(ctx) })
		direct.urls = append(direct.urls, "http://"+b.Addr().String())
		records = append(records, record.Instance{ID: fmt.Sprint("i", n), Pool: "fittingDesk", State: "inService", Addr: b.Addr()})
	}
	forwarder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for forwarder: %w", err)
	}
	server := &http.Server{Handler: &plainForwarder{urls: direct.urls, transport: transport()}, ReadHeaderTimeout: 5 * time.Second}
	g.Go(func() error { return server.Serve(forwarder) })
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for entry: %w", err)
	}
	e := &entry.Entry{
		ID: "bench", Configuration: configuration{measuredSet()}, Claims: noClaims{}, Listener: listener,
		Alone: func() bool { return true }, LeaveDelay: time.Millisecond,
	}
	e.SetInstances(records)
	g.Go(func() error { return e.Run(ctx) })
	return []path{
		direct,
		{name: "forwarder", urls: []string{"http://" + forwarder.Addr().String()}},
		{name: "entry", urls: []string{"http://" + listener.Addr().String()}},
	}, nil
}

func transport() *http.Transport {
	return &http.Transport{MaxIdleConns: 1024, MaxIdleConnsPerHost: 256, DisableCompression: true}
}

// plainForwarder is the baseline. It forwards each request to the next backend server and copies the response unchanged.
type plainForwarder struct {
	urls      []string
	transport *http.Transport
	next      atomic.Uint64
}

// ServeHTTP forwards one request.
func (p *plainForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	url := p.urls[p.next.Add(1)%uint64(len(p.urls))] + r.URL.Path
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out.ContentLength = r.ContentLength
	out.Header = r.Header
	response, err := p.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}
