package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/platform"
)

const (
	// perRack is how many instances share a rack.
	perRack = 4
	// siteInterval is how often reboots are carried over to the backend servers.
	siteInterval = 20 * time.Millisecond
)

// Site is the platform of one deployment with a backend server on loopback for each instance; set the exported fields
// before Open.
type Site struct {
	Name        string
	Instances   int
	DataCentres int
	Capacity    platform.Resources
	// Slots is the number of requests that a backend server runs at a time, Connections the number that it accepts.
	Slots, Connections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	RebootTime  time.Duration

	Store      *Store
	Workers    *Workers
	Executions *ExecutionLog
	*Control

	backends map[string]*Backend
	mu       sync.Mutex
	cutLive  int
	stopped  map[string]bool
}

// Open creates the instances and opens their backend servers' ports.
func (s *Site) Open() error {
	s.Store = NewStore()
	s.Workers = NewWorkers()
	s.Executions = &ExecutionLog{}
	s.Control = NewControl()
	s.Control.RebootTime = s.RebootTime
	s.backends = map[string]*Backend{}
	s.stopped = map[string]bool{}
	for i := range s.Instances {
		b := &Backend{Slots: s.Slots, Connections: s.Connections, ServiceTime: s.ServiceTime, Log: s.Executions}
		if err := b.Listen(); err != nil {
			return err
		}
		instance := s.instance(i, b)
		s.backends[instance.ID] = b
		s.Control.Add(instance)
		s.Workers.Add(instance.ID, instance.Location.Rack, instance.Capacity)
	}
	return nil
}

// instance places the instances in data centres by turns and four to a rack.
func (s *Site) instance(i int, b *Backend) platform.Instance {
	dataCentre := i % s.DataCentres
	rack := i / s.DataCentres / perRack
	return platform.Instance{
		ID:   fmt.Sprintf("%s-i%03d", s.Name, i),
		Addr: b.Addr(),
		Location: platform.Location{
			Region:     "region1",
			DataCentre: fmt.Sprintf("dc%d", dataCentre+1),
			Rack:       fmt.Sprintf("dc%d-rack%02d", dataCentre+1, rack+1),
		},
		Capacity: s.Capacity,
		Status:   platform.Live,
		Healthy:  true,
	}
}

// Run serves the backend servers until the context ends.
func (s *Site) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, b := range s.backends {
		group.Go(func() error { return b.Run(ctx) })
	}
	group.Go(func() error { return s.carryReboots(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// carryReboots closes the connections of an instance that is down and serves again once it is healthy.
func (s *Site) carryReboots(ctx context.Context) error {
	for range interval.FromNow(ctx, siteInterval) {
		for id, b := range s.backends {
			s.setStopped(id, b, !s.Control.Healthy(id))
		}
	}
	return ctx.Err()
}

func (s *Site) setStopped(id string, b *Backend, stop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[id] == stop {
		return
	}
	s.stopped[id] = stop
	if stop {
		b.SetFault(ClosedBefore)
		b.CloseIdle()
		return
	}
	b.SetFault(Healthy)
}

// Backend returns the backend server of an instance.
func (s *Site) Backend(id string) *Backend { return s.backends[id] }

// InFlight returns how many requests and tasks the instance is working on.
func (s *Site) InFlight(ctx context.Context, id string) (int, error) {
	if _, err := s.Control.InFlight(ctx, id); err != nil {
		return 0, err
	}
	return s.backends[id].InFlight() + len(s.Workers.Running(id)), nil
}

// Reboot restarts an instance once for each command id; a request in flight counts as cut.
func (s *Site) Reboot(ctx context.Context, id, commandID string) error {
	s.noteCut(id, commandID)
	return s.Control.Reboot(ctx, id, commandID)
}

// Retire takes an instance out of the fleet once for each command id; a request in flight counts as cut.
func (s *Site) Retire(ctx context.Context, id, commandID string) error {
	s.noteCut(id, commandID)
	return s.Control.Retire(ctx, id, commandID)
}

func (s *Site) noteCut(id, commandID string) {
	b, ok := s.backends[id]
	if !ok || s.Control.TimesApplied(commandID) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutLive += b.InFlight() + len(s.Workers.Running(id))
	s.Workers.Reboot(id)
}

// InterruptedByStops returns how many requests and tasks were in flight at instances that were rebooted or retired.
func (s *Site) InterruptedByStops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutLive
}

// Platform returns the site's instance list, control and workers as one.
func (s *Site) Platform() SitePlatform { return SitePlatform{Site: s, Workers: s.Workers} }

// SitePlatform is a Site as the platform that an entry instance uses.
type SitePlatform struct {
	*Site
	*Workers
}

// Reboot restarts an instance once for each command id.
func (p SitePlatform) Reboot(ctx context.Context, id, commandID string) error {
	return p.Site.Reboot(ctx, id, commandID)
}

// SetFaults replaces the faults of the instance list and control.
func (p SitePlatform) SetFaults(f ControlFaults) { p.Site.SetFaults(f) }
