package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"verbenalanding.example/fleet/rpc"
)

// callTimeout bounds a call to the platform.
const callTimeout = 3 * time.Second

// sentinels are the errors of this package that errors.Is recognizes after a remote call.
var sentinels = rpc.Sentinels{ErrUnavailable, ErrUnknownInstance, ErrUnknownTask, ErrTaskLease}

type commandParams struct {
	ID        string `json:"id"`
	CommandID string `json:"commandId"`
}

type taskParams struct {
	Worker  string `json:"worker"`
	Task    string `json:"task"`
	Epoch   uint64 `json:"epoch"`
	Percent int    `json:"percent,omitempty"`
}

type startParams struct {
	Worker string `json:"worker"`
	Task   Task   `json:"task"`
}

// Remote implements Control and Workers by remote calls to the platform.
type Remote struct {
	client rpc.Client
}

// NewRemote returns a client for the platform at the given address.
func NewRemote(addr netip.AddrPort) *Remote {
	return &Remote{client: rpc.Client{Addr: addr, Sentinels: sentinels}}
}

// List returns the instances that changed after a version.
func (r *Remote) List(ctx context.Context, after uint64) (Listing, error) {
	var l Listing
	return l, r.call(ctx, "platform.list", after, &l)
}

// InFlight returns the number of requests in flight on an instance.
func (r *Remote) InFlight(ctx context.Context, id string) (int, error) {
	var n int
	return n, r.call(ctx, "platform.inFlight", id, &n)
}

// Reboot restarts an instance once for each command id.
func (r *Remote) Reboot(ctx context.Context, id, commandID string) error {
	return r.call(ctx, "platform.reboot", commandParams{ID: id, CommandID: commandID}, nil)
}

// Retire removes an instance from the fleet once for each command id.
func (r *Remote) Retire(ctx context.Context, id, commandID string) error {
	return r.call(ctx, "platform.retire", commandParams{ID: id, CommandID: commandID}, nil)
}

// Start starts a task.
func (r *Remote) Start(ctx context.Context, worker string, t Task) error {
	return r.call(ctx, "worker.start", startParams{Worker: worker, Task: t}, nil)
}

// RenewLease extends a task's lease.
func (r *Remote) RenewLease(ctx context.Context, worker, task string, epoch uint64) error {
	return r.call(ctx, "worker.renew", taskParams{Worker: worker, Task: task, Epoch: epoch}, nil)
}

// Checkpoint saves a task's progress and stops it.
func (r *Remote) Checkpoint(ctx context.Context, worker, task string, epoch uint64) error {
	return r.call(ctx, "worker.checkpoint", taskParams{Worker: worker, Task: task, Epoch: epoch}, nil)
}

// Throttle limits a task to a percentage of its reserved CPU.
func (r *Remote) Throttle(ctx context.Context, worker, task string, epoch uint64, percent int) error {
	return r.call(ctx, "worker.throttle", taskParams{Worker: worker, Task: task, Epoch: epoch, Percent: percent}, nil)
}

// Stop ends a task.
func (r *Remote) Stop(ctx context.Context, worker, task string, epoch uint64) error {
	return r.call(ctx, "worker.stop", taskParams{Worker: worker, Task: task, Epoch: epoch}, nil)
}

// Report returns the usage of all tasks of a worker.
func (r *Remote) Report(ctx context.Context, worker string) ([]Usage, error) {
	var usage []Usage
	return usage, r.call(ctx, "worker.report", worker, &usage)
}

func (r *Remote) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.client.Call(ctx, method, params, result)
	if errors.Is(err, rpc.ErrUnreachable) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}

// Sentinels returns the errors that a server that uses Serve must preserve for the client.
func Sentinels() rpc.Sentinels { return sentinels }

// Serve returns the handler that answers the calls of Remote.
func Serve(c Control, w Workers) rpc.Handler {
	return func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		switch method {
		case "platform.list":
			return rpc.Answer(params, func(after uint64) (Listing, error) { return c.List(ctx, after) })
		case "platform.inFlight":
			return rpc.Answer(params, func(id string) (int, error) { return c.InFlight(ctx, id) })
		case "platform.reboot":
			return answerCommand(params, func(p commandParams) error { return c.Reboot(ctx, p.ID, p.CommandID) })
		case "platform.retire":
			return answerCommand(params, func(p commandParams) error { return c.Retire(ctx, p.ID, p.CommandID) })
		case "worker.start":
			return answerCommand(params, func(p startParams) error { return w.Start(ctx, p.Worker, p.Task) })
		case "worker.renew":
			return answerCommand(params, func(p taskParams) error { return w.RenewLease(ctx, p.Worker, p.Task, p.Epoch) })
		case "worker.checkpoint":
			return answerCommand(params, func(p taskParams) error { return w.Checkpoint(ctx, p.Worker, p.Task, p.Epoch) })
		case "worker.throttle":
			return answerCommand(params, func(p taskParams) error { return w.Throttle(ctx, p.Worker, p.Task, p.Epoch, p.Percent) })
		case "worker.stop":
			return answerCommand(params, func(p taskParams) error { return w.Stop(ctx, p.Worker, p.Task, p.Epoch) })
		case "worker.report":
			return rpc.Answer(params, func(id string) ([]Usage, error) { return w.Report(ctx, id) })
		default:
			return nil, fmt.Errorf("no method %s", method)
		}
	}
}

// answerCommand decodes the parameters of a command and runs it; the answer has no content.
func answerCommand[P any](params json.RawMessage, do func(P) error) (any, error) {
	return rpc.Answer(params, func(p P) (struct{}, error) { return struct{}{}, do(p) })
}
