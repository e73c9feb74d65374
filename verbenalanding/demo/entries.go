package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/verbenalanding/daemon"
	"verbenalanding.example/verbenalanding/settings"
)

// runningEntry is a running entry instance that can be stopped.
type runningEntry struct {
	*daemon.Daemon
	cancel context.CancelFunc
	group  errgroup.Group
}

func (r *runningEntry) stop() error {
	r.cancel()
	return r.group.Wait()
}

// entries are the entry instances that callers reach.
type entries struct {
	mu      sync.Mutex
	running []*runningEntry
}

// pick returns the caller address of the entry instance with index n, modulo the number of entry instances.
func (e *entries) pick(n int) netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[n%len(e.running)].CallerAddr()
}

// replace replaces the entry instance with index i and returns the old one.
func (e *entries) replace(i int, r *runningEntry) *runningEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.running[i]
	e.running[i] = r
	return old
}

func (e *entries) stopAll() error {
	e.mu.Lock()
	running := slices.Clone(e.running)
	e.mu.Unlock()
	var group errgroup.Group
	for _, r := range running {
		group.Go(r.stop)
	}
	return group.Wait()
}

// startEntries starts an entry instance in each data centre.
func (d *deployment) startEntries(ctx context.Context) error {
	for i := range dataCentres {
		r, err := d.startEntry(ctx, i, i+1)
		if err != nil {
			return err
		}
		d.entries.running = append(d.entries.running, r)
	}
	return nil
}

// startEntry starts an entry instance on loopback. The cancellation of the context does not stop it, so that it can be shut down
// gracefully.
func (d *deployment) startEntry(ctx context.Context, dataCentre, number int) (*runningEntry, error) {
	anyPort := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	e := &daemon.Daemon{
		Settings: settings.Settings{
			ID: fmt.Sprintf("%s-e%d", d.name, number), Region: "region1", DataCentre: fmt.Sprintf("dc%d", dataCentre+1),
			CallerAddr: anyPort, OperatorAddr: anyPort, PeerAddr: anyPort, Entries: dataCentres, LeaveDelay: 100 * time.Millisecond,
			TokensFile: d.tokensFile,
		},
		Version: "demo",
		Timing: daemon.MaintenanceTiming{
			Step: 200 * time.Millisecond, DrainPoll: 100 * time.Millisecond, Check: 500 * time.Millisecond, SpareDelay: time.Second,
			ClockSkew: 100 * time.Millisecond,
		},
		Log:      d.log,
		Store:    d.site.Store,
		Platform: d.site.Platform(),
	}
	if err := e.Listen(); err != nil {
		return nil, err
	}
	servingCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &runningEntry{Daemon: e, cancel: cancel}
	r.group.Go(func() error { return e.Run(servingCtx) })
	return r, nil
}

// replaceEntries replaces all entry instances one after another while requests are sent and the wave runs.
func (d *deployment) replaceEntries(ctx context.Context) error {
	for i := range dataCentres {
		replacement, err := d.startEntry(ctx, i, dataCentres+i+1)
		if err != nil {
			return err
		}
		err = await(ctx, "the replacement to be ready", func() (bool, error) { return ready(ctx, replacement), nil })
		if err != nil {
			return errors.Join(err, replacement.stop())
		}
		if err := d.entries.replace(i, replacement).stop(); err != nil {
			return err
		}
	}
	d.printProgress("all %d entry instances were replaced, one after the other", dataCentres)
	return nil
}

func ready(ctx context.Context, r *runningEntry) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", r.CallerAddr()), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
