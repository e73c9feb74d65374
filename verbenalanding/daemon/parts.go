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

// parts are the assembled parts of an entry instance.
type parts struct {
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

// connect joins the parts that call each other.
func (p parts) connect() {
	s := &service{
		id:      p.Daemon.Settings.ID,
		changes: p.Changes, mirrors: p.Mirrors, entry: p.Entry, view: p.View, claims: p.Claims, demands: p.Demands,
		observer: p.Observer,
	}
	p.Node.Service = s
	p.Node.HeartbeatFor = s.beat
	p.Entry.DemandChanged = p.Node.Wake
	p.Node.Changed = s.changed
	p.Node.OnHeartbeat = s.heard
	p.Tracker.Query = s.ask(p.Node)
	p.DutyManager.Names = p.Duties.names
	p.DutyManager.Work = p.Duties.work
	p.DutyManager.OnJoined = p.View.joined
	p.View.renewed = p.DutyManager.Renewed
}

// run serves until the context ends. The callers' side ends first, while the other parts still answer for its requests
// in flight; then the duties are given back, and the rest ends.
func (p parts) run(ctx context.Context) error {
	p.connect()
	base := context.WithoutCancel(ctx)
	background, stopBackground := context.WithCancel(base)
	defer stopBackground()
	duties, stopDuties := context.WithCancel(base)
	defer stopDuties()
	group, background := errgroup.WithContext(background)
	manager := &errgroup.Group{}

	group.Go(func() error { return p.Mirrors.members.Run(background) })
	group.Go(func() error { return p.Mirrors.duties.Run(background) })
	group.Go(func() error { return p.Mirrors.instances.Run(background) })
	group.Go(func() error { return p.Changes.Run(background) })
	group.Go(func() error { return p.Node.Run(background) })
	group.Go(func() error { return p.Tracker.Run(background) })
	group.Go(func() error { return p.View.run(background) })
	group.Go(func() error { return p.Observer.run(background) })
	group.Go(func() error { return p.Operator.Serve(background, p.Daemon.operators) })
	manager.Go(func() error { return p.DutyManager.Run(duties) })
	p.Log.Info().Str("version", p.Daemon.Version).Stringer("callers", p.Daemon.CallerAddr()).
		Stringer("operators", p.Daemon.OperatorAddr()).Stringer("peers", p.Daemon.PeerAddr()).Msg("entry instance started")

	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	// A part that fails ends the callers' side, which finishes its requests first.
	group.Go(func() error {
		<-background.Done()
		stopServing()
		return nil
	})
	err := p.Entry.Run(serving)
	p.View.stop()
	stopDuties()
	err = errors.Join(err, manager.Wait())
	stopBackground()
	err = errors.Join(err, group.Wait())
	p.Log.Info().Err(err).Msg("entry instance stopped")
	return err
}
