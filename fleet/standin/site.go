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
	instancesPerRack = 4
	// rebootSyncInterval is the interval at which backend servers are stopped and restarted with their instances.
	rebootSyncInterval = 20 * time.Millisecond
)

// Site is the platform of one deployment, with a backend server on loopback for each instance. Set the fields up to RebootTime before Open,
// which creates the others.
type Site struct {
	Name        string
	Instances   int
	DataCentres int
	Capacity    platform.Resources
	// Slots is the number of requests that a backend server runs at a time. Connections is the number that it accepts.
	Slots, Connections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	RebootTime  time.Duration

	Store      *Store
	Workers    *Workers
	Executions *ExecutionLog
	*Control

	backends    map[string]*Backend
	mu          sync.Mutex
	interrupted int
	stopped     map[string]bool
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

// instance returns the instance with index i. Instances are distributed over the data centres in turn, instancesPerRack to a rack.
func (s *Site) instance(i int, b *Backend) platform.Instance {
	dataCentre := i % s.DataCentres
	rack := i / s.DataCentres / instancesPerRack
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

// Run runs the backend servers until the context ends.
func (s *Site) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, b := range s.backends {
		group.Go(func() error { return b.Run(ctx) })
	}
	group.Go(func() error { return s.syncReboots(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// syncReboots stops the backend servers of instances that are down and restarts them once the instances are healthy.
func (s *Site) syncReboots(ctx context.Context) error {
	for range interval.FromNow(ctx, rebootSyncInterval) {
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

// InFlight returns the number of requests and tasks in flight on an instance.
func (s *Site) InFlight(ctx context.Context, id string) (int, error) {
	if _, err := s.Control.InFlight(ctx, id); err != nil {
		return 0, err
	}
	return s.backends[id].InFlight() + len(s.Workers.Running(id)), nil
}

// Reboot restarts an instance once for each command id and counts the requests and tasks that this interrupts.
func (s *Site) Reboot(ctx context.Context, id, commandID string) error {
	return s.interruptWork(id, commandID, func() error { return s.Control.Reboot(ctx, id, commandID) })
}

// Retire removes an instance from the fleet once for each command id and counts the requests and tasks that this interrupts.
func (s *Site) Retire(ctx context.Context, id, commandID string) error {
	return s.interruptWork(id, commandID, func() error { return s.Control.Retire(ctx, id, commandID) })
}

// interruptWork carries out a command. If this applies it for the first time, also when its answer is lost, it counts the requests and tasks in
// flight on the instance and ends its tasks.
func (s *Site) interruptWork(id, commandID string, command func() error) error {
	b, ok := s.backends[id]
	if !ok || s.Control.TimesApplied(commandID) > 0 {
		return command()
	}
	inFlight := b.InFlight() + len(s.Workers.Running(id))
	err := command()
	if s.Control.TimesApplied(commandID) == 0 {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted += inFlight
	s.Workers.Reboot(id)
	return err
}

// InterruptedByStops returns the number of requests and tasks that reboots and retirements of instances interrupted.
func (s *Site) InterruptedByStops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupted
}

// Platform returns the site as a platform.Control and platform.Workers.
func (s *Site) Platform() SitePlatform { return SitePlatform{Site: s, Workers: s.Workers} }

// SitePlatform is the platform of a Site as entry instances use it.
type SitePlatform struct {
	*Site
	*Workers
}

// Reboot restarts an instance once for each command id.
func (p SitePlatform) Reboot(ctx context.Context, id, commandID string) error {
	return p.Site.Reboot(ctx, id, commandID)
}

// SetFaults replaces the active faults of the Control.
func (p SitePlatform) SetFaults(f ControlFaults) { p.Site.SetFaults(f) }
