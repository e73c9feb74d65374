package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
)

// Server answers the calls of other processes on a listener.
type Server struct {
	Listener  net.Listener
	Handler   Handler
	Sentinels Sentinels
	// Log gets a line for each message that cannot be decoded, or whose answer cannot be sent; nil writes to standard error.
	Log *zerolog.Logger
	// Limits bound the server's memory; nil bounds the size of a message only.
	Limits *Limits

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context) error {
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		err := s.Listener.Close()
		s.closeAll()
		return err
	})
	group.Go(func() error {
		for {
			conn, err := s.Listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if isExhausted(err) {
				interval.Wait(ctx, acceptPause)
				continue
			}
			if err != nil {
				return err
			}
			s.serve(ctx, conn)
		}
	})
	return group.Wait()
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	var messages jsonrpc2.ObjectCodec = sizedCodec{max: maxMessage}
	calls := jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()
	handler := jsonrpc2.AsyncHandler(calls)
	if s.Limits != nil {
		messages, handler = codec{ctx: ctx, limits: s.Limits, conn: conn}, newLimitedHandler(calls, s.Limits, conn)
	}
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, messages), handler, logOption(s.Log, conn))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropClosed()
	s.conns[c] = struct{}{}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	result, err := s.Handler(ctx, r.Method, params)
	if err != nil {
		return nil, s.Sentinels.encode(err)
	}
	return result, nil
}

// dropClosed removes the connections that the other side has closed; the lock must be held.
func (s *Server) dropClosed() {
	for c := range s.conns {
		select {
		case <-c.DisconnectNotify():
			delete(s.conns, c)
		default:
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
