package daemon

import (
	"context"
	"errors"

	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/duty"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/peer"
)

// components holds the assembled components of an entry instance.
type components struct {
	dig.In

	Daemon      *Daemon
	Mirrors     *mirrors
	Changes     *configuration.Log
	DutyManager *duty.Manager
	Tracker     *drain.Tracker
	Node        *peer.Node
	Claims      *claims
	Demands     *demands
	View        *view
	Entry       *entry.Entry
	Duties      *duties
	Observer    *observer
	Operator    *operator.Server
	Log         zerolog.Logger
}

// connect sets the callbacks between components that call each other.
func (c components) connect() {
	s := &service{
		id:      c.Daemon.Settings.ID,
		changes: c.Changes, mirrors: c.Mirrors, entry: c.Entry, view: c.View, claims: c.Claims, demands: c.Demands,
		observer: c.Observer,
	}
	c.Node.Service = s
	c.Node.HeartbeatFor = s.newHeartbeat
	c.Entry.DemandChanged = c.Node.Wake
	c.Node.Changed = s.demandChanged
	c.Node.OnHeartbeat = s.receive
	c.Tracker.Query = s.queryDrains(c.Node)
	c.DutyManager.Names = c.Duties.names
	c.DutyManager.Work = c.Duties.run
	c.DutyManager.OnJoined = c.View.joined
	c.View.renewed = c.DutyManager.Renewed
}

// run serves until the context ends. The callers' side shuts down first, because its requests in flight still need the other
// components; then the duties are released, and the remaining components stop.
func (c components) run(ctx context.Context) error {
	c.connect()
	base := context.WithoutCancel(ctx)
	background, stopBackground := context.WithCancel(base)
	defer stopBackground()
	duties, stopDuties := context.WithCancel(base)
	defer stopDuties()
	group, background := errgroup.WithContext(background)
	manager := &errgroup.Group{}

	group.Go(func() error { return c.Mirrors.members.Run(background) })
	group.Go(func() error { return c.Mirrors.duties.Run(background) })
	group.Go(func() error { return c.Mirrors.instances.Run(background) })
	group.Go(func() error { return c.Changes.Run(background) })
	group.Go(func() error { return c.Node.Run(background) })
	group.Go(func() error { return c.Tracker.Run(background) })
	group.Go(func() error { return c.View.run(background) })
	group.Go(func() error { return c.Observer.run(background) })
	group.Go(func() error { return c.Operator.Serve(background, c.Daemon.operators) })
	manager.Go(func() error { return c.DutyManager.Run(duties) })
	c.Log.Info().Str("version", c.Daemon.Version).Stringer("callers", c.Daemon.CallerAddr()).
		Stringer("operators", c.Daemon.OperatorAddr()).Stringer("peers", c.Daemon.PeerAddr()).Msg("entry instance started")

	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	// A component that fails shuts down the callers' side, which finishes its requests in flight first.
	group.Go(func() error {
		<-background.Done()
		stopServing()
		return nil
	})
	err := c.Entry.Run(serving)
	c.View.stop()
	stopDuties()
	err = errors.Join(err, manager.Wait())
	stopBackground()
	err = errors.Join(err, group.Wait())
	c.Log.Info().Err(err).Msg("entry instance stopped")
	return err
}
