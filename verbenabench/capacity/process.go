package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/verbenalanding/daemon"
	"verbenalanding.example/verbenalanding/settings"
)

const (
	// warmupTime is the time in which the process takes its duties before the measurement.
	warmupTime      = 6 * time.Second
	measurementTime = 8 * time.Second
)

// standinPlatform combines the stand-ins that a daemon needs.
type standinPlatform struct {
	*standin.Control
	*standin.Workers
}

// Reboot restarts an instance.
func (p standinPlatform) Reboot(ctx context.Context, id, commandID string) error {
	return p.Control.Reboot(ctx, id, commandID)
}

// wholeProcess measures a whole daemon that holds every duty of the fleet, without requests. At the target size the duties are spread over
// targetEntries processes. The costs that every process has are measured separately, without duties.
func (c *Capacity) wholeProcess(ctx context.Context) ([]Slope, error) {
	load := Slope{
		Quantity: "whole process, idle, with every duty", Role: "all entry instances together", Per: "worker", Unit: "cores",
		Target: targetWorkers, Limit: coreLimit * targetEntries, Mechanism: "duties spread over the entry instances by leases",
	}
	memory := Slope{
		Quantity: "whole process, idle, with every duty", Role: "one entry instance as the worst case", Per: "worker", Unit: "bytes of heap",
		Target: targetWorkers, Limit: memoryLimit, Mechanism: "duties spread over the entry instances by leases",
	}
	reads := Slope{
		Quantity: "reads of one process with every duty", Role: "store", Per: "worker", Unit: "reads/s", Target: targetWorkers,
		Mechanism: "one snapshot of the fleet for all loops of a process, one watch for each shard",
	}
	for _, workers := range []int{430, 1290, targetWorkers} {
		m, err := c.runDaemon(ctx, workers)
		if err != nil {
			return nil, err
		}
		load.Points = append(load.Points, Point{float64(workers), m.cores})
		memory.Points = append(memory.Points, Point{float64(workers), m.heap})
		reads.Points = append(reads.Points, Point{float64(workers), m.reads})
	}
	return []Slope{load, memory, reads}, nil
}

type processCost struct {
	cores, heap, reads float64
}

// runDaemon runs a daemon for a fleet with a number of workers and returns its costs.
func (c *Capacity) runDaemon(ctx context.Context, workers int) (processCost, error) {
	pools := workers * targetPools / targetWorkers
	var before runtime.MemStats
	s, p, err := populate(ctx, workers, pools)
	if err != nil {
		return processCost{}, err
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	tokensFile, err := writeTokens()
	if err != nil {
		return processCost{}, err
	}
	defer func() { _ = os.Remove(tokensFile) }()
	loopbackAddr := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	d := &daemon.Daemon{
		Settings: settings.Settings{
			ID: "entry1", DataCentre: "dc00", Entries: 1, CallerAddr: loopbackAddr, OperatorAddr: loopbackAddr, PeerAddr: loopbackAddr,
			TokensFile: tokensFile, LeaveDelay: time.Millisecond,
		},
		Log: zerolog.Nop(), Store: s, Platform: p,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.Run(ctx) })
	interval.Wait(ctx, warmupTime)
	cpuTimeBefore, callsBefore := processorTime(), readsOf(s)
	interval.Wait(ctx, measurementTime)
	cpuTime, calls := processorTime()-cpuTimeBefore, readsOf(s)-callsBefore
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	cancel()
	cost := processCost{
		cores: cpuTime.Seconds() / measurementTime.Seconds(),
		heap:  max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 1),
		reads: float64(calls) / measurementTime.Seconds(),
	}
	return cost, group.Wait()
}

// populate returns a store and a platform with a fleet whose waves are paused.
func populate(ctx context.Context, workers, pools int) (*standin.Store, standinPlatform, error) {
	s := standin.NewStore()
	p := standinPlatform{Control: standin.NewControl(), Workers: standin.NewWorkers()}
	set := fleetSet(pools)
	set.PauseWaves()
	l := &configuration.Log{Store: s, Now: time.Now}
	if _, err := l.Propose(ctx, configuration.Change{ID: "all", Delta: declaration.Diff(declaration.Set{}, set)}); err != nil {
		return nil, p, err
	}
	for i := range workers {
		r := instance(i, pools)
		if _, err := record.Save(ctx, s, record.InstancePrefix+r.ID, r, 0, 0); err != nil {
			return nil, p, err
		}
		p.Control.Add(platform.Instance{
			ID: r.ID, Addr: r.Addr, Location: r.Location, Capacity: r.Capacity, Status: platform.Live, Healthy: true,
		})
		p.Workers.Add(r.ID, r.Location.Rack, r.Capacity)
	}
	return s, p, nil
}

func writeTokens() (string, error) {
	hash, err := operator.HashToken("the-measurement-needs-no-operator")
	if err != nil {
		return "", err
	}
	text, err := json.Marshal([]operator.Credential{{Identity: operator.Identity{Name: "none", Role: operator.RoleReader}, Hash: hash}})
	if err != nil {
		return "", err
	}
	file, err := os.CreateTemp("", "verbenabench-*.json")
	if err != nil {
		return "", err
	}
	if _, err := file.Write(text); err != nil {
		return "", err
	}
	return file.Name(), file.Close()
}

// processorTime returns the processor time of this process in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Sprintf("read processor time: %v", err))
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func readsOf(s *standin.Store) int {
	calls := s.Calls()
	return calls["get"] + calls["list"] + calls["watch"]
}
