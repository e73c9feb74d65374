package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

const (
	// fenceTimeout is the timeout of all calls to fence the workers of a pool, fenceCallTimeout that of one worker.
	fenceTimeout     = 2 * time.Second
	fenceCallTimeout = 500 * time.Millisecond
	// fenceCalls is the number of workers that are called at the same time.
	fenceCalls = 64
)

var (
	errNoMachineList    = errors.New("no list of machines shows which workers run")
	errWorkerUnknown    = errors.New("machine runs a worker that is not registered")
	errWorkerUnanswered = errors.New("worker has not answered")
)

// fenceWorkers sends a fencing token to each worker that a former holder of a pool may order, and returns an error unless all of them have
// answered. It prolongs no lease and acknowledges no ends. The token 0 changes nothing on a worker, and shows whether it answers.
func (n *Node) fenceWorkers(ctx context.Context, pool string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	workers, err := n.runningWorkers(ctx, pool)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(fenceCalls)
	for _, w := range workers {
		group.Go(func() error { return n.fenceWorker(groupCtx, w, fence) })
	}
	return group.Wait()
}

// fenceWorker sends a fencing token to a worker.
func (n *Node) fenceWorker(ctx context.Context, w workload.Worker, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, fenceCallTimeout)
	defer cancel()
	outcome, _, err := n.Workers.Hold(ctx, platform.HoldOrder{Worker: w, Fence: fence})
	switch outcome {
	case platform.HoldAccepted, platform.HoldOtherWorker:
		// Another worker at the address shows that this one has ended.
		return nil
	case platform.HoldFenced:
		if fence == 0 {
			return nil
		}
	case platform.HoldUnanswered:
	}
	return fmt.Errorf("%w: %s, %s: %w", errWorkerUnanswered, w.ID, outcome, errors.Join(err, ctx.Err()))
}

// runningWorkers returns the workers of a pool that run, by their registrations and the list of machines.
func (n *Node) runningWorkers(ctx context.Context, pool string) ([]workload.Worker, error) {
	if !n.Settings.Machines.IsValid() {
		return nil, errNoMachineList
	}
	// The list comes second: a worker that it does not show because it is too young is not known to a former holder without the store.
	registered, err := n.registeredWorkers(ctx, pool)
	if err != nil {
		return nil, err
	}
	machines, err := n.Machines.List(ctx)
	if err != nil {
		return nil, err
	}
	return selectRunning(pool, registered, machines)
}

// registeredWorkers returns the registered workers of a pool, by id.
func (n *Node) registeredWorkers(ctx context.Context, pool string) (map[string]workload.Worker, error) {
	entries, _, err := store.ListAll(ctx, n.Store, platform.WorkerPrefix)
	if err != nil {
		return nil, fmt.Errorf("list workers: %w", err)
	}
	registered := map[string]workload.Worker{}
	for _, e := range entries {
		// An entry that cannot be decoded names no worker; if one runs there, the list of machines names it.
		if w, err := platform.DecodeWorker(e.Key, e.Value); err == nil && w.Pool == pool {
			registered[strings.TrimPrefix(e.Key, platform.WorkerPrefix)] = w
		}
	}
	return registered, nil
}

// selectRunning returns the registered workers of a pool without those whose machine runs them no more.
func selectRunning(pool string, registered map[string]workload.Worker, machines []workload.Machine) ([]workload.Worker, error) {
	byID := map[string]workload.Machine{}
	for _, m := range machines {
		byID[m.ID] = m
		if m.State == workload.MachineUnknown {
			return nil, fmt.Errorf("%w: machine %s", errNoMachineList, m.ID)
		}
		if _, known := registered[m.Worker]; m.Pool == pool && m.State == workload.MachineUp && m.Worker != "" && !known {
			return nil, fmt.Errorf("%w: %s on %s", errWorkerUnknown, m.Worker, m.ID)
		}
	}
	var running []workload.Worker
	for id, w := range registered {
		m, listed := byID[w.Machine]
		if ended := w.Machine != "" && (!listed || m.State != workload.MachineUp || m.Worker != id); !ended {
			running = append(running, w)
		}
	}
	return running, nil
}
