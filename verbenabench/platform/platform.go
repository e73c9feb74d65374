package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// The methods that set faults, which only the stand-in has.
const (
	methodStoreFaults = "standin.storeFaults"
	methodGone        = "standin.gone"
)

// Server serves a store, an instance list, workers and backend servers. Set the exported fields before Run.
type Server struct {
	Listen      string        `long:"listen" env:"VERBENABENCH_LISTEN" default:"127.0.0.1:7000" description:"loopback address to listen on"`
	Deployment  string        `long:"deployment" env:"VERBENABENCH_DEPLOYMENT" default:"cascade" description:"name of the deployment, the prefix of the instance IDs"`
	Instances   int           `long:"instances" env:"VERBENABENCH_INSTANCES" default:"49" description:"number of instances"`
	ServiceTime time.Duration `long:"takes" env:"VERBENABENCH_TAKES" default:"20ms" description:"processing time of a request"`
	RebootTime  time.Duration `long:"reboot-time" env:"VERBENABENCH_REBOOT_TIME" default:"5s" description:"duration of a reboot"`
	Out         io.Writer     `no-flag:"true"`

	site *standin.Site
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	const gigabyte = 1_000_000_000
	s.site = &standin.Site{
		Name: s.Deployment, Instances: s.Instances, DataCentres: 3, Slots: 8, Connections: 64, ServiceTime: s.ServiceTime,
		RebootTime: s.RebootTime, Capacity: platform.Resources{MilliCores: 64_000, MemoryBytes: 128 * gigabyte},
	}
	if err := s.site.Open(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose another address with --listen", err)
	}
	fmt.Fprintf(s.Out, "the platform's stand-ins serve at %s\n", listener.Addr())
	server := &rpc.Server{Listener: listener, Handler: s.handle}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.site.Run(ctx) })
	group.Go(func() error { return server.Run(ctx) })
	return group.Wait()
}

// handle serves a call. The error codes of the store client and the platform client start at the same number, so the errors of each method
// are encoded with the list of its client.
func (s *Server) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch {
	case strings.HasPrefix(method, "store."):
		result, err := store.Serve(s.site.Store)(ctx, method, params)
		return result, store.Sentinels().Encode(err)
	case strings.HasPrefix(method, "standin."):
		return struct{}{}, s.setFault(method, params)
	default:
		p := s.site.Platform()
		result, err := platform.Serve(p, p)(ctx, method, params)
		return result, platform.Sentinels().Encode(err)
	}
}

// setFault sets or clears a fault.
func (s *Server) setFault(method string, params json.RawMessage) error {
	switch method {
	case methodStoreFaults:
		f, err := rpc.Decode[standin.StoreFaults](params)
		if err != nil {
			return err
		}
		s.site.Store.SetFaults(f)
		return nil
	case methodGone:
		id, err := rpc.Decode[string](params)
		if err != nil {
			return err
		}
		s.site.Control.Add(platform.Instance{ID: id, Status: platform.Gone})
		return nil
	default:
		return fmt.Errorf("no method %s", method)
	}
}
