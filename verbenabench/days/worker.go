package days

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/platform/standin"
)

func (s *script) drawMachines(random *rand.Rand, maxCount int) []string {
	var list []string
	for range 1 + random.IntN(maxCount) {
		name := s.poolNames[random.IntN(len(s.poolNames))]
		list = append(list, fmt.Sprintf("m-%s-%d", name, random.IntN(s.pools[name])))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (s *script) drawWorkers(random *rand.Rand, f *fault) {
	machines, duration := s.drawMachines(random, 4), f.duration
	f.detail = fmt.Sprint(machines)
	switch random.IntN(10) {
	case 0, 1:
		f.kind = workerRestarted
		f.run = func(_ context.Context, d *day) { d.restartWorkers(machines) }
	case 2:
		f.kind = workerCrashed
		f.run = func(_ context.Context, d *day) {
			for _, m := range machines {
				d.noteError(d.platform.CrashWorker(m))
			}
		}
	case 3:
		nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores))]
		wait := between(random, 0, duration)
		f.kind, f.detail = workerCutAndRestarted, fmt.Sprintf("%v from %v, restarted after %v", machines, nodes, wait)
		f.run = func(ctx context.Context, d *day) {
			var parts parallel
			defer parts.wait()
			parts.start(func() { d.partition(ctx, duration, bothDirections, nodeAddrs(nodes), d.machineAddrs(machines)) })
			if sleep(ctx, wait) == nil {
				d.restartWorkers(machines)
			}
		}
	case 4, 5:
		delay := between(random, 100*time.Millisecond, 2500*time.Millisecond)
		f.kind, f.detail = startsLate, fmt.Sprintf("%v by %v", machines, delay)
		f.run = func(ctx context.Context, d *day) {
			for _, m := range machines {
				d.platform.SetWorkerFaults(m, standin.WorkerFaults{StartDelay: delay})
			}
			_ = sleep(ctx, duration)
			for _, m := range machines {
				d.platform.SetWorkerFaults(m, standin.WorkerFaults{})
			}
		}
	case 6, 7:
		f.kind = workerAnswersLost
		f.run = func(ctx context.Context, d *day) {
			for _, addr := range d.machineAddrs(machines) {
				d.network.changeHeldOutput(addr, 1)
			}
			_ = sleep(ctx, duration)
			for _, addr := range d.machineAddrs(machines) {
				d.network.changeHeldOutput(addr, -1)
			}
		}
	case 8:
		f.kind = registrationsLapse
		f.run = func(ctx context.Context, d *day) {
			for _, m := range machines {
				d.platform.ExpireRegistration(m)
			}
			_ = sleep(ctx, duration)
			for _, m := range machines {
				d.platform.Register(m)
			}
		}
	default:
		f.kind = machineLost
		f.run = func(ctx context.Context, d *day) {
			for _, m := range machines {
				d.platform.LoseMachine(m)
			}
			_ = sleep(ctx, duration)
			for _, m := range machines {
				d.noteError(d.platform.RecoverMachine(m))
			}
		}
	}
}
