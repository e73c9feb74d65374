package days

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Addresses of the simulated network.
var (
	storeAddr    = netip.MustParseAddr("10.1.0.1")
	machinesAddr = netip.MustParseAddr("10.1.0.2")
	callerAddr   = netip.MustParseAddr("10.9.0.1")
)

func nodeAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

func nodeAddrs(nodes []int) []netip.Addr {
	list := make([]netip.Addr, 0, len(nodes))
	for _, i := range nodes {
		list = append(list, nodeAddr(i))
	}
	return list
}

// day is the state of a running simulation.
type day struct {
	script    *script
	network   *network
	platform  *standin.Platform
	processes []*process
	oracle    *oracle
	client    *http.Client
	group     *errgroup.Group
	log       logBuffer

	mu sync.Mutex
	// hosts holds the hosts of the store, the machine list and the workers by their names in the stand-in.
	hosts  map[string]*host
	ports  map[netip.Addr]uint16
	faults map[int]standin.StoreFaults
	nextID int
	// rejections counts for each node the active faults in which the store rejects it.
	rejections map[int]int
	accepted   []*submission
	// cancelled holds the jobs whose callers requested a cancellation; the value is true once it was acknowledged.
	cancelled    map[string]bool
	broken       []string
	stateChecks  int
	endedJobs    int
	notes        []string
	disturbances disturbances
	// submissions holds the submissions by job ID.
	submissions map[string]*submission
}

// logBuffer collects the log lines of all processes.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write appends lines.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(b)
}

const (
	storeHost    = "store"
	machinesHost = "machines"
	firstPort    = 7000
)

// hostOf returns the host of a part of the platform: the store, the machine list or a machine's worker.
func (d *day) hostOf(part string) *host {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[part]; h != nil {
		return h
	}
	addr := netip.AddrFrom4([4]byte{10, 2, byte(len(d.hosts) / 250), byte(len(d.hosts)%250 + 1)})
	switch part {
	case storeHost:
		addr = storeAddr
	case machinesHost:
		addr = machinesAddr
	}
	h := d.network.addHost(addr, 1, true)
	d.hosts[part] = h
	return h
}

// listen opens the listener of a part. On every third machine the next worker reuses the address of the previous one.
func (d *day) listen(part string) (net.Listener, error) {
	h := d.hostOf(part)
	d.mu.Lock()
	port := firstPort + d.ports[h.addr]
	if h.addr == storeAddr || h.addr.As4()[3]%3 != 0 {
		d.ports[h.addr]++
	}
	d.mu.Unlock()
	return h.listen(netip.AddrPortFrom(h.addr, port))
}

func (d *day) machineAddrs(machines []string) []netip.Addr {
	list := make([]netip.Addr, 0, len(machines))
	for _, m := range machines {
		list = append(list, d.hostOf(m).addr)
	}
	return list
}

// machineCapacity is the capacity of each machine.
var machineCapacity = wire.Resources{CPU: 8000, MemMb: 16000}

// start starts the platform and the nodes.
func (d *day) start(ctx context.Context) error {
	s := d.script
	d.network, d.oracle, d.submissions = newNetwork(s.seed), newOracle(), map[string]*submission{}
	for i := range s.jobs {
		d.submissions[s.jobs[i].job.ID] = &s.jobs[i]
	}
	d.hosts, d.ports, d.faults, d.rejections, d.cancelled = map[string]*host{}, map[netip.Addr]uint16{}, map[int]standin.StoreFaults{}, map[int]int{}, map[string]bool{}
	caller := d.network.addHost(callerAddr, 1, false)
	d.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: caller.dial, DisableKeepAlives: true}}
	d.platform = &standin.Platform{
		Seed: s.seed, Pools: s.pools, Capacity: machineCapacity, Tick: 20 * time.Millisecond,
		UpkeepTime: 300 * time.Millisecond, MoveTime: 300 * time.Millisecond, Listen: d.listen, ClockRate: s.machineClockRate, OnRunEvent: d.observe,
	}
	if err := d.platform.Start(ctx, d.group); err != nil {
		return err
	}
	d.platform.SetTenants(s.tenants())
	d.platform.Configure(1, testfleet.Host, testfleet.Attempts)
	for i, cores := range s.cores {
		gate, err := d.platform.OpenGate()
		if err != nil {
			return err
		}
		p := &process{
			settings: settings(fmt.Sprintf("n%d", i), nodeAddr(i), cores, gate.Addr, d.platform.CloudAddr, standin.Bounds()),
			gate:     gate, network: d.network, clockRate: s.clockRates[i], log: &d.log, downtime: s.startDelays[i],
		}
		p.settings.Workspaces = s.hasKeys()
		d.processes = append(d.processes, p)
		d.group.Go(func() error { return p.run(ctx) })
	}
	return nil
}

// observe passes an event to the oracle, with the delivery of the answer to the caller if there is one.
func (d *day) observe(e standin.RunEvent) {
	var answer *delivery
	if caller, err := netip.ParseAddrPort(e.Caller); err == nil {
		answer = d.network.trackDelivery(d.hostOf(e.Machine), caller.Addr())
	}
	d.oracle.observe(e, answer)
	d.checkCancelled(e)
	if e.Kind == standin.LeaseExtended && e.LeaseEnd-e.Clock > standin.Bounds().MaxLease {
		// The lease end refers to the clock of an earlier incarnation of the worker. The platform shortens such a lease to its maximum, but
		// the stand-in does not, so the runs would last for as long as the earlier incarnation did. Restart the worker instead.
		time.AfterFunc(0, func() { d.restartWorkers([]string{e.Machine}) })
	}
}

func (d *day) violate(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func (d *day) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = append(d.notes, fmt.Sprintf("%v ", time.Since(d.oracle.startTime))+fmt.Sprintf(format, args...))
}

func (d *day) noteError(err error) {
	if err != nil {
		d.note("stand-in: %v", err)
	}
}

// holder returns the session and the process of the node that holds a pool's duty according to the store; p is nil if there is none.
func (d *day) holder(pool string) (session string, p *process) {
	value, ok := d.platform.Store.Get(leadership.Prefix + pool)
	var m leadership.Member
	if !ok || json.Unmarshal(value, &m) != nil {
		return "", nil
	}
	for _, p := range d.processes {
		if p.settings.Node == m.Node {
			return m.Session, p
		}
	}
	return "", nil
}

// rejectNode changes the number of active faults in which the store rejects a node. The store rejects the node while there are any.
func (d *day) rejectNode(i, change int) {
	d.mu.Lock()
	d.rejections[i] += change
	rejected := d.rejections[i] > 0
	d.mu.Unlock()
	d.processes[i].gate.SetClosed(rejected)
}

// failStore adds store faults to those in force and returns a function that ends them.
func (d *day) failStore(f standin.StoreFaults) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	id := d.nextID
	d.faults[id] = f
	d.setFaults()
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.faults, id)
		d.setFaults()
	}
}

func (d *day) setFaults() {
	var all standin.StoreFaults
	for _, f := range d.faults {
		all.Refuse = all.Refuse || f.Refuse
		all.LoseAnswers, all.LoseReads = max(all.LoseAnswers, f.LoseAnswers), max(all.LoseReads, f.LoseReads)
		all.DelayWrites, all.Delay = max(all.DelayWrites, f.DelayWrites), max(all.Delay, f.Delay)
	}
	d.platform.Store.SetFaults(all)
}

// partition partitions two groups of addresses for a time, in one or both directions.
func (d *day) partition(ctx context.Context, duration time.Duration, directions int, group, others []netip.Addr) {
	setAll := func(partitioned bool) {
		for _, a := range group {
			for _, b := range others {
				if a == b {
					continue
				}
				if directions&1 != 0 {
					d.network.setPartitioned(a, b, partitioned)
				}
				if directions&2 != 0 {
					d.network.setPartitioned(b, a, partitioned)
				}
			}
		}
	}
	setAll(true)
	_ = sleep(ctx, duration)
	setAll(false)
}

// restartWorkers restarts workers under their IDs. Their connections are reset, as after the end of a process.
func (d *day) restartWorkers(machines []string) {
	for i, addr := range d.machineAddrs(machines) {
		d.platform.RestartWorker(machines[i])
		d.network.resetConns(addr)
	}
}

// injectFaults injects the faults and returns when all have ended.
func (d *day) injectFaults(ctx context.Context) error {
	var group errgroup.Group
	for i := range d.script.faults {
		f := &d.script.faults[i]
		if err := sleep(ctx, time.Until(d.oracle.startTime.Add(f.at))); err != nil {
			break
		}
		d.note("fault %s %s for %v", f.kind, f.detail, f.duration)
		group.Go(func() error {
			defer d.disturb(f)()
			f.run(ctx, d)
			return nil
		})
	}
	return group.Wait()
}
