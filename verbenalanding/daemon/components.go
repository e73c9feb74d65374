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
	ConfigLog   *configuration.Log
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
	s := &peerService{
		id:        c.Daemon.Settings.ID,
		configLog: c.ConfigLog, mirrors: c.Mirrors, entry: c.Entry, view: c.View, claims: c.Claims, demands: c.Demands,
		observer: c.Observer,
	}
	c.Node.Service = s
	c.Node.HeartbeatFor = s.newHeartbeat
	c.Entry.DemandChanged = c.Node.Wake
	c.Node.Changed = s.demandChanged
	c.Node.OnHeartbeat = s.receiveHeartbeat
	c.Tracker.Query = s.queryDrains(c.Node)
	c.DutyManager.Names = c.Duties.names
	c.DutyManager.Work = c.Duties.run
	c.DutyManager.OnJoined = c.View.joined
	c.View.lastRenewal = c.DutyManager.Renewed
}

// run serves until the context ends. The callers' side shuts down first, because its requests in flight still need the other
// components; then the duties are released, and finally the remaining components stop.
func (c components) run(ctx context.Context) error {
	c.connect()
	baseCtx := context.WithoutCancel(ctx)
	backgroundCtx, stopBackground := context.WithCancel(baseCtx)
	defer stopBackground()
	dutiesCtx, stopDuties := context.WithCancel(baseCtx)
	defer stopDuties()
	group, backgroundCtx := errgroup.WithContext(backgroundCtx)
	dutiesGroup := &errgroup.Group{}

	group.Go(func() error { return c.Mirrors.members.Run(backgroundCtx) })
	group.Go(func() error { return c.Mirrors.duties.Run(backgroundCtx) })
	group.Go(func() error { return c.Mirrors.instances.Run(backgroundCtx) })
	group.Go(func() error { return c.ConfigLog.Run(backgroundCtx) })
	group.Go(func() error { return c.Node.Run(backgroundCtx) })
	group.Go(func() error { return c.Tracker.Run(backgroundCtx) })
	group.Go(func() error { return c.View.run(backgroundCtx) })
	group.Go(func() error { return c.Observer.run(backgroundCtx) })
	group.Go(func() error { return c.Operator.Serve(backgroundCtx, c.Daemon.operators) })
	dutiesGroup.Go(func() error { return c.DutyManager.Run(dutiesCtx) })
	c.Log.Info().Str("version", c.Daemon.Version).Stringer("callers", c.Daemon.CallerAddr()).
		Stringer("operators", c.Daemon.OperatorAddr()).Stringer("peers", c.Daemon.PeerAddr()).Msg("entry instance started")

	servingCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	// A component that fails shuts down the callers' side, which finishes its requests in flight first.
	group.Go(func() error {
		<-backgroundCtx.Done()
		stopServing()
		return nil
	})
	err := c.Entry.Run(servingCtx)
	c.View.markStopping()
	stopDuties()
	err = errors.Join(err, dutiesGroup.Wait())
	stopBackground()
	err = errors.Join(err, group.Wait())
	c.Log.Info().Err(err).Msg("entry instance stopped")
	return err
}
