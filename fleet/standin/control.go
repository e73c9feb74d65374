package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/platform"
)

// ControlFaults are the faults that a Control can inject.
type ControlFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers is the number of next commands that take effect but fail with platform.ErrUnavailable.
	LoseAnswers int
	// DuplicateCommands delivers every command a second time before the next call.
	DuplicateCommands bool
	// Lag is the age of the instance list, including the health of the instances.
	Lag time.Duration
	// NoReturn holds the ids of the instances that never return from a reboot.
	NoReturn map[string]bool
	// BadFirmware reports whether a command leaves an instance unhealthy after its reboot.
	BadFirmware func(id, commandID string) bool
}

// Interruption is a reboot or retirement of an instance with requests in flight.
type Interruption struct {
	Instance  string
	CommandID string
	InFlight  int
}

type instanceState struct {
	instance platform.Instance
	inFlight int
	// rebootEndsAt is when the current reboot ends; zero if the instance is not rebooting.
	rebootEndsAt  time.Time
	rebootCommand string
}

type listChange struct {
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
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// RebootTime is how long a reboot takes. A reboot with 0 ends at the next call.
	RebootTime time.Duration

	mu            sync.Mutex
	faults        ControlFaults
	instances     map[string]*instanceState
	rebooting     map[string]*instanceState
	changes       []listChange
	version       uint64
	applied       map[string]int
	duplicates    []command
	interruptions []Interruption
	reboots       int
}

// NewControl returns a platform with the given instances, listed as of time.Now. To list them by another clock, set Now first and use Add.
func NewControl(instances ...platform.Instance) *Control {
	c := &Control{instances: map[string]*instanceState{}, rebooting: map[string]*instanceState{}, applied: map[string]int{}}
	c.Add(instances...)
	return c
}

// Add adds instances to the list or replaces those with the same id.
func (c *Control) Add(instances ...platform.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range instances {
		c.instances[i.ID] = &instanceState{instance: i}
		c.publish(c.instances[i.ID])
	}
}

// SetFaults replaces the active faults.
func (c *Control) SetFaults(f ControlFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// SetInFlight sets the number of requests in flight on an instance.
func (c *Control) SetInFlight(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.instances[id]; m != nil {
		m.inFlight = n
	}
}

// SetHealthy makes the matching instances fail or recover immediately and returns their ids. A failed instance loses its requests in flight.
func (c *Control) SetHealthy(healthy bool, match func(platform.Instance) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishReboots()
	var ids []string
	for id, m := range c.instances {
		if !match(m.instance) || m.instance.Status == platform.Gone {
			continue
		}
		ids = append(ids, id)
		if !healthy {
			m.inFlight = 0
		}
		// An instance that recovers has been restarted.
		if healthy && !m.instance.Healthy {
			m.instance.BootCount++
			m.rebootEndsAt = time.Time{}
		}
		m.instance.Healthy = healthy
		c.publish(m)
	}
	sort.Strings(ids)
	return ids
}

// Interruptions returns the reboots and retirements that interrupted requests in flight.
func (c *Control) Interruptions() []Interruption {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Interruption(nil), c.interruptions...)
}

// TimesApplied returns how often a command took effect.
func (c *Control) TimesApplied(commandID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied[commandID]
}

// Reboots returns the number of reboots that commands have started.
func (c *Control) Reboots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reboots
}

// Healthy reports whether an instance is healthy now, regardless of ControlFaults.Lag.
func (c *Control) Healthy(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishReboots()
	m := c.instances[id]
	return m != nil && m.instance.Healthy
}

// List returns the instances that changed after a version, as they were ControlFaults.Lag ago.
func (c *Control) List(ctx context.Context, after uint64) (platform.Listing, error) {
	if err := c.begin(ctx); err != nil {
		return platform.Listing{}, err
	}
	defer c.mu.Unlock()
	asOf := c.now().Add(-c.faults.Lag)
	listing := platform.Listing{Version: after, AsOf: asOf}
	latest := map[string]platform.Instance{}
	start := sort.Search(len(c.changes), func(i int) bool { return c.changes[i].version > after })
	for _, e := range c.changes[start:] {
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

// InFlight returns the number of requests in flight on an instance, or platform.ErrUnavailable if the instance is down.
func (c *Control) InFlight(ctx context.Context, id string) (int, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	m := c.instances[id]
	if m == nil {
		return 0, platform.ErrUnknownInstance
	}
	if !m.instance.Healthy {
		return 0, platform.ErrUnavailable
	}
	return m.inFlight, nil
}

// Reboot restarts an instance once for each command id.
func (c *Control) Reboot(ctx context.Context, id, commandID string) error {
	return c.command(ctx, command{id: id, commandID: commandID})
}

// Retire removes an instance from the fleet once for each command id.
func (c *Control) Retire(ctx context.Context, id, commandID string) error {
	return c.command(ctx, command{id: id, commandID: commandID, retire: true})
}

func (c *Control) command(ctx context.Context, cmd command) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.instances[cmd.id] == nil {
		return platform.ErrUnknownInstance
	}
	c.apply(cmd)
	if c.faults.DuplicateCommands {
		c.duplicates = append(c.duplicates, cmd)
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
	m := c.instances[cmd.id]
	if m.inFlight > 0 {
		c.interruptions = append(c.interruptions, Interruption{Instance: cmd.id, CommandID: cmd.commandID, InFlight: m.inFlight})
		m.inFlight = 0
	}
	m.instance.Healthy = false
	if cmd.retire {
		m.instance.Status = platform.Gone
	} else {
		c.reboots++
		m.rebootCommand = cmd.commandID
		m.rebootEndsAt = c.now().Add(c.RebootTime)
		c.rebooting[cmd.id] = m
	}
	c.publish(m)
}

// begin applies the faults that take effect before a call. If it returns nil, the mutex is locked.
func (c *Control) begin(ctx context.Context) error {
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	c.mu.Lock()
	if c.faults.Down {
		c.mu.Unlock()
		return platform.ErrUnavailable
	}
	c.finishReboots()
	duplicates := c.duplicates
	c.duplicates = nil
	for _, cmd := range duplicates {
		c.apply(cmd)
	}
	return nil
}

// finishReboots ends the reboots whose time has passed.
func (c *Control) finishReboots() {
	now := c.now()
	var due []*instanceState
	for id, m := range c.rebooting {
		if m.rebootEndsAt.IsZero() {
			delete(c.rebooting, id)
		} else if !m.rebootEndsAt.After(now) && !c.faults.NoReturn[id] {
			due = append(due, m)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].instance.ID < due[b].instance.ID })
	for _, m := range due {
		m.rebootEndsAt = time.Time{}
		m.instance.BootCount++
		m.instance.Healthy = c.faults.BadFirmware == nil || !c.faults.BadFirmware(m.instance.ID, m.rebootCommand)
		c.publish(m)
	}
}

func (c *Control) publish(m *instanceState) {
	c.version++
	c.changes = append(c.changes, listChange{version: c.version, at: c.now(), instance: m.instance})
}

func (c *Control) now() time.Time { return clock.Now(c.Now) }
