package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// pools are the pools that get jobs. The second pool has half as many machines and half as many jobs as the first.
var pools = [...]string{"cutting", "fitting"}

// ErrPromise is returned when the run broke a promise.
var ErrPromise = errors.New("promise broken")

// Soak is one soak test run. Set the exported fields before Run.
type Soak struct {
	Seed uint64
	// Duration is the time in which faults are injected. After it, all accepted jobs must end without further faults.
	Duration time.Duration
	// Nodes is 4, 7 or 10, depending on the seed, if it is not set.
	Nodes    int
	Machines int
	// PerSecond is the number of submitted jobs per second.
	PerSecond float64
	// Program is the path of the entry instance's program. The program is built if the path is empty.
	Program string
	// KeepFiles keeps the folder with logs and settings even if no promise was broken.
	KeepFiles bool
	Out       io.Writer

	dir string
	// addrCount counts the addresses that were assigned to entry instances.
	addrCount int
	platform  *standin.Platform
	processes []*process
	// mu is locked by AdvertisedAddr, which the platform calls while holding its own lock. Call no method that locks the platform while
	// holding mu.
	mu sync.Mutex
	// configuring is held while a configuration is written, so that versions are written in order.
	configuring sync.Mutex
	proxies     []*proxy
	// workers holds the workers' proxies in start order. unproxied holds the addresses of workers that started before the processes were
	// created and get their proxies later.
	workers   []workerProxies
	unproxied []netip.AddrPort
	// lastStoreFault is the number of the latest store fault.
	lastStoreFault int
	// losingHolders holds the pools in which a fault is removing each new holder.
	losingHolders sync.Map
	// ended is true once the proxies were closed.
	ended   bool
	version int64
	// waves counts the waves that the operator requested.
	waves  int
	keys   keyRecord
	record callerRecord
}

// SetDefaults sets the default values of unset fields.
func (s *Soak) SetDefaults() {
	s.Duration = cmp.Or(s.Duration, 10*time.Second)
	s.Nodes = cmp.Or(s.Nodes, minNodes+int(s.Seed%3)*nodesStep)
	s.Machines = cmp.Or(s.Machines, 8)
	s.PerSecond = cmp.Or(s.PerSecond, 10)
}

const (
	sparePool = "spare"
	host      = "fleet.example"
	// attempts is the number of runs of a task that may fail.
	attempts = 3
	// restartDelay is the default time from the end of a process to its restart.
	restartDelay = 300 * time.Millisecond
	callTimeout  = 3500 * time.Millisecond
	// A stopping process keeps serving for 2.6 s. With few processes, a series of stops leaves none that can take over a duty; with more, the
	// duty moves on.
	minNodes  = 4
	nodesStep = 3
	// settleLimit is the time limit for all accepted jobs to end after the last fault. It covers leases, the suspicion time of workers,
	// which doubles up to 16 s, and the work itself.
	settleLimit = 30 * time.Second
	// startupTime is the time before the first job.
	startupTime = 1500 * time.Millisecond
)

// secondPoolMachines is the number of machines of the second pool.
func (s *Soak) secondPoolMachines() int { return (s.Machines + 1) / 2 }

// Run runs the test with the seed. It ends every process that it started, even if the context ends early.
func (s *Soak) Run(ctx context.Context) (err error) {
	s.SetDefaults()
	if s.dir, err = os.MkdirTemp("", fmt.Sprintf("verbena-soak-%d-", s.Seed)); err != nil {
		return err
	}
	if s.Program == "" {
		s.Program = filepath.Join(s.dir, "verbenaentry")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", s.Program, "verbenalanding.example/verbenaentry").CombinedOutput(); err != nil {
			return fmt.Errorf("build verbenaentry: %w: %s", err, out)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	group, groupCtx := errgroup.WithContext(ctx)
	err = s.runScenario(groupCtx, group)
	cancel()
	s.mu.Lock()
	s.ended = true
	for _, p := range s.proxies {
		p.close()
	}
	s.mu.Unlock()
	if groupErr := group.Wait(); err == nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	s.summarize(err)
	if err == nil && !s.KeepFiles {
		return os.RemoveAll(s.dir)
	}
	return err
}

func (s *Soak) addProxy(p *proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		// A machine may return from its upkeep while the run ends.
		p.close()
	}
	s.proxies = append(s.proxies, p)
}

func (s *Soak) runScenario(ctx context.Context, group *errgroup.Group) error {
	s.platform = &standin.Platform{
		Seed: s.Seed, Pools: map[string]int{pools[0]: s.Machines, pools[1]: s.secondPoolMachines(), sparePool: 1}, Standby: sparePool, Capacity: wire.Resources{CPU: 8000, MemMb: 16000},
		Tick: 5 * time.Millisecond, UpkeepTime: 300 * time.Millisecond, MoveTime: 300 * time.Millisecond, ExtraQueues: extraQueues,
		AdvertisedAddr: func(addr netip.AddrPort) (netip.AddrPort, error) {
			if len(s.processes) == 0 {
				s.unproxied = append(s.unproxied, addr)
				return addr, nil
			}
			return addr, s.addWorkerProxies(addr, group)
		},
	}
	if err := s.platform.Start(ctx, group); err != nil {
		return err
	}
	s.startKeys()
	for i := range s.Nodes {
		p, err := s.newProcess(nodeName(i), group)
		if err != nil {
			return err
		}
		s.addProxy(p.storeProxy)
		s.processes = append(s.processes, p)
	}
	s.connect(group)
	for _, addr := range s.unproxied {
		if err := s.addWorkerProxies(addr, group); err != nil {
			return err
		}
	}
	for _, p := range s.processes {
		group.Go(func() error { return p.run(ctx) })
	}
	if err := sleep(ctx, startupTime); err != nil {
		return err
	}
	faults := rand.New(rand.NewPCG(s.Seed, 10))
	callers, callersCtx := errgroup.WithContext(ctx)
	keysCtx, endKeys := context.WithCancel(callersCtx)
	callers.Go(func() error {
		defer endKeys()
		return s.injectAll(callersCtx, faults)
	})
	callers.Go(func() error { return s.submitAll(callersCtx, rand.New(rand.NewPCG(s.Seed, 11))) })
	callers.Go(func() error { return s.watchVersions(callersCtx) })
	callers.Go(func() error { return s.watchKeys(keysCtx) })
	if err := callers.Wait(); err != nil {
		return err
	}
	return s.settle(ctx)
}

// settle ends all faults and checks that the newest configuration is in force, also at the end, and that all accepted jobs and all waves end
// without violations.
func (s *Soak) settle(ctx context.Context) error {
	s.endFaults()
	s.record.note("faults ended", nil)
	if err := s.awaitVersions(ctx, versionLimit); err != nil {
		return err
	}
	if err := s.checkKeys(ctx); err != nil {
		return err
	}
	jobs, jobsCtx := errgroup.WithContext(ctx)
	jobs.Go(func() error { return s.awaitJobs(jobsCtx) })
	jobs.Go(func() error { return s.awaitLongRunning(jobsCtx) })
	if err := jobs.Wait(); err != nil {
		return err
	}
	if err := s.awaitWaves(ctx); err != nil {
		return err
	}
	// A process that no longer answers, or has lost the configuration, can have been replaced by the others until here.
	if err := s.awaitVersions(ctx, versionLimit); err != nil {
		return fmt.Errorf("at the end of the run: %w", err)
	}
	for _, v := range s.platform.Violations() {
		return fmt.Errorf("%w: %s", ErrPromise, v)
	}
	return s.keys.violation()
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func (s *Soak) endFaults() {
	s.platform.Store.SetFaults(standin.StoreFaults{})
	s.mu.Lock()
	proxies := slices.Clone(s.proxies)
	s.mu.Unlock()
	for _, p := range proxies {
		p.set(pass)
		// Clients close connections whose bytes were discarded after their own timeouts. The resets only shorten the wait.
		p.resetAll()
	}
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, id := range s.platform.Machines() {
		s.platform.SetWorkerFaults(id, standin.WorkerFaults{})
		if err := s.platform.RecoverMachine(id); err != nil {
			s.record.note(id+": "+err.Error(), nil)
		}
	}
}

// configure writes the next configuration. The stand-in calls back under its own lock when a worker starts, and takes s.mu then, so that s.mu must
// not be held while the stand-in is called.
func (s *Soak) configure() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.platform.Configure(version, host, attempts)
}

func (s *Soak) summarize(err error) {
	b := &s.record
	b.mu.Lock()
	defer b.mu.Unlock()
	outcome := "kept"
	if err != nil || s.KeepFiles {
		if writeErr := os.WriteFile(filepath.Join(s.dir, "events.log"), []byte(strings.Join(b.events, "\n")+"\n"), 0o600); writeErr != nil {
			fmt.Fprintln(s.Out, "write events.log:", writeErr)
		}
	}
	if err != nil {
		outcome = err.Error() + "; logs in " + s.dir
	}
	fmt.Fprintf(s.Out, "seed %d: %d faults, %d jobs accepted, %d refused, %d unknown, %d cancelled: %s\n",
		s.Seed, b.faults, len(b.accepted), b.refused, b.unknown, b.cancelled, outcome)
}

// sleep waits for d. It returns the context's cause if the context ends before.
func sleep(ctx context.Context, d time.Duration) error {
	if !interval.Wait(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}
