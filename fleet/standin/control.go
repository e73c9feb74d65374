package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"verbenalanding.example/fleet/platform"
)

// ControlFaults are the faults of a Control that can be switched on.
type ControlFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers makes the next commands take effect and then fail with platform.ErrUnavailable.
	LoseAnswers int
	// DuplicateCommands delivers every command a second time when the next call arrives.
	DuplicateCommands bool
	// Lag is how much the list and its health reports are behind.
	Lag time.Duration
	// NoReturn names the instances that never come back from a reboot.
	NoReturn map[string]bool
	// BadFirmware reports whether a command leaves an instance unhealthy after its reboot.
	BadFirmware func(id, commandID string) bool
}

// Interruption is a reboot or retirement that hit requests in flight.
type Interruption struct {
	Instance  string
	CommandID string
	InFlight  int
}

type machine struct {
	listed   platform.Instance
	inFlight int
	// bootAt is when a reboot ends; zero when none is under way.
	bootAt  time.Time
	command string
}

type listEvent struct {
	version  uint64
	at       time.Time
	instance platform.Instance
}

type command struct {
	id, commandID string
	retire        bool
}

// Control is an in-memory platform.Control; set the exported fields before use.
type Control struct {
	// Now returns the time by which reboots end; time.Now when nil.
	Now func() time.Time
	// RebootTime is how long a reboot takes; 0 ends it at the next call.
	RebootTime time.Duration

	mu       sync.Mutex
	faults   ControlFaults
	machines map[string]*machine
	booting  map[string]*machine
	events   []listEvent
	version  uint64
	applied  map[string]int
	doubled  []command
	cuts     []Interruption
	reboots  int
}

// NewControl returns a platform with the instances, listed at time.Now; add them after Now is set for another time.
func NewControl(instances ...platform.Instance) *Control {
	c := &Control{machines: map[string]*machine{}, booting: map[string]*machine{}, applied: map[string]int{}}
	c.Add(instances...)
	return c
}

// Add puts instances on the list, or replaces those with the same id.
func (c *Control) Add(instances ...platform.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range instances {
		c.machines[i.ID] = &machine{listed: i}
		c.publish(c.machines[i.ID])
	}
}

// SetFaults replaces the faults that are in force.
func (c *Control) SetFaults(f ControlFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// SetInFlight sets the number of requests that an instance is working on.
func (c *Control) SetInFlight(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil {
		m.inFlight = n
	}
}

// SetHealthy makes instances fail or come back at once; requests in flight on a failed instance are lost.
func (c *Control) SetHealthy(healthy bool, match func(platform.Instance) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle()
	var ids []string
	for id, m := range c.machines {
		if !match(m.listed) || m.listed.Status == platform.Gone {
			continue
		}
		ids = append(ids, id)
		if !healthy {
			m.inFlight = 0
		}
		// An instance that comes back was restarted.
		if healthy && !m.listed.Healthy {
			m.listed.BootCount++
			m.bootAt = time.Time{}
		}
		m.listed.Healthy = healthy
		c.publish(m)
	}
	sort.Strings(ids)
	return ids
}

// Interruptions returns the commands that hit requests in flight.
func (c *Control) Interruptions() []Interruption {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Interruption(nil), c.cuts...)
}

// TimesApplied returns how often a command took effect.
func (c *Control) TimesApplied(commandID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[commandID]
}

// Reboots returns the number of reboots by command.
func (c *Control) Reboots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reboots
}

// Healthy returns whether an instance is healthy now, without lag.
func (c *Control) Healthy(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle()
	m := c.machines[id]
	return m != nil && m.listed.Healthy
}

// List returns the instances that changed after a version, as of the lag.
func (c *Control) List(ctx context.Context, after uint64) (platform.Listing, error) {
	if err := c.begin(ctx); err != nil {
		return platform.Listing{}, err
	}
	defer c.mu.Unlock()
	asOf := c.now().Add(-c.faults.Lag)
	listing := platform.Listing{Version: after, AsOf: asOf}
	latest := map[string]platform.Instance{}
	start := sort.Search(len(c.events), func(i int) bool { return c.events[i].version > after })
	for _, e := range c.events[start:] {
		if e.at.After(asOf) {
			break
		}
		latest[e.instance.ID] = e.instance
		listing.Version = e.version
	}
	for _, i := range latest {
		listing.Instances = append(listing.Instances, i)
	}
	sort.Slice(listing.Instances, func(a, b int) bool { return listing.Instances[a].ID < listing.Instances[b].ID })
	return listing, nil
}

// InFlight returns how many requests the instance is working on; an instance that is down does not answer.
func (c *Control) InFlight(ctx context.Context, id string) (int, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil {
		return 0, platform.ErrUnknownInstance
	}
	if !m.listed.Healthy {
		return 0, platform.ErrUnavailable
	}
	return m.inFlight, nil
}

// Reboot restarts an instance once for each command id.
func (c *Control) Reboot(ctx context.Context, id, commandID string) error {
	return c.command(ctx, command{id: id, commandID: commandID})
}

// Retire takes an instance out of the fleet once for each command id.
func (c *Control) Retire(ctx context.Context, id, commandID string) error {
	return c.command(ctx, command{id: id, commandID: commandID, retire: true})
}

func (c *Control) command(ctx context.Context, cmd command) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.machines[cmd.id] == nil {
		return platform.ErrUnknownInstance
	}
	c.apply(cmd)
	if c.faults.DuplicateCommands {
		c.doubled = append(c.doubled, cmd)
	}
	if c.faults.LoseAnswers > 0 {
		c.faults.LoseAnswers--
		return platform.ErrUnavailable
	}
	return nil
}

func (c *Control) apply(cmd command) {
	if c.applied[cmd.commandID] > 0 {
		return
	}
	c.applied[cmd.commandID]++
	m := c.machines[cmd.id]
	if m.inFlight > 0 {
		c.cuts = append(c.cuts, Interruption{Instance: cmd.id, CommandID: cmd.commandID, InFlight: m.inFlight})
		m.inFlight = 0
	}
	m.listed.Healthy = false
	if cmd.retire {
		m.listed.Status = platform.Gone
	} else {
		c.reboots++
		m.command = cmd.commandID
		m.bootAt = c.now().Add(c.RebootTime)
		c.booting[cmd.id] = m
	}
	c.publish(m)
}

// begin applies the faults that precede a call and returns with the mutex held when it returns nil.
func (c *Control) begin(ctx context.Context) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	c.mu.Lock()
	if c.faults.Down {
		c.mu.Unlock()
		return platform.ErrUnavailable
	}
	c.settle()
	doubled := c.doubled
	c.doubled = nil
	for _, cmd := range doubled {
		c.apply(cmd)
	}
	return nil
}

// settle ends the reboots that are due.
func (c *Control) settle() {
	now := c.now()
	var due []*machine
	for id, m := range c.booting {
		if m.bootAt.IsZero() {
			delete(c.booting, id)
		} else if !m.bootAt.After(now) && !c.faults.NoReturn[id] {
			due = append(due, m)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].listed.ID < due[b].listed.ID })
	for _, m := range due {
		m.bootAt = time.Time{}
		m.listed.BootCount++
		m.listed.Healthy = c.faults.BadFirmware == nil || !c.faults.BadFirmware(m.listed.ID, m.command)
		c.publish(m)
	}
}

func (c *Control) publish(m *machine) {
	c.version++
	c.events = append(c.events, listEvent{version: c.version, at: c.now(), instance: m.listed})
}

func (c *Control) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}
