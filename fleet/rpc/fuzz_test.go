package rpc_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/rpc"
)

var errRefused = errors.New("refused")

// frame returns a message as it is sent: its length and its text.
func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// pipeListener accepts the connections that are handed to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection to a server that accepts from the listener.
func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// echo returns the params of a call, or an error for the method "refuse".
func echo(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method == "refuse" {
		return nil, errRefused
	}
	return rpc.Answer(params, func(v any) (any, error) { return v, nil })
}

// Guards against a message of another process, of another version or broken, that ends the server or disturbs the other connections.
func FuzzServer(f *testing.F) {
	call := frame(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":[1,"b"]}}`)
	f.Add(call)
	f.Add(append(call, frame(`{"jsonrpc":"2.0","id":"x","method":"refuse"}`)...))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"result":null}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":-1,"method":7,"params":{}}`))
	f.Add(frame(`[{"id":{},"method":null}]`))
	f.Add(append(binary.AppendUvarint(nil, 1<<63), '{'))
	f.Add(bytes.Repeat([]byte{0xff}, 12))
	f.Fuzz(func(t *testing.T, sent []byte) {
		for _, limits := range []*rpc.Limits{nil, smallLimits()} {
			checkServer(t, limits, sent)
		}
	})
}

// checkServer checks that a server answers the calls on a connection whatever was sent on another one.
func checkServer(t *testing.T, limits *rpc.Limits, sent []byte) {
	t.Helper()
	listener := newPipeListener()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var group errgroup.Group
	server := &rpc.Server{Listener: listener, Sentinels: rpc.Sentinels{errRefused}, Handler: echo, Limits: limits}
	group.Go(func() error { return server.Run(ctx) })
	conn, err := listener.dial(ctx, "", "")
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() error {
		_, _ = io.Copy(io.Discard, conn)
		return nil
	})
	// The server may close the connection before it has read everything.
	_, _ = conn.Write(sent)
	other := &rpc.Client{Addr: netip.MustParseAddrPort("10.0.0.1:1"), Sentinels: rpc.Sentinels{errRefused}, Dial: listener.dial}
	var got string
	if err := other.Call(ctx, "echo", "text", &got); err != nil || got != "text" {
		t.Errorf("call on another connection: got %q and %v, want the text", got, err)
	}
	if err := other.Call(ctx, "refuse", nil, nil); !errors.Is(err, errRefused) {
		t.Errorf("refused call on another connection: got %v, want %v", err, errRefused)
	}
	_ = other.Close()
	_ = conn.Close()
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("server: got %v, want none", err)
	}
}

// Guards against an answer of another process, of another version or broken, that ends the caller, or is taken for an answer of the handler
// although it has none.
func FuzzClient(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":0,"result":{"a":1}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":0,"error":{"code":-32000,"message":"refused"}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":0,"error":{"code":-9223372036854775808,"message":"m","data":[]}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":0}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":0,"method":"call","params":null}`))
	f.Add(append(frame(`{"id":7,"result":1}`), frame(`{"id":0,"result":null}`)...))
	f.Add(append(binary.AppendUvarint(nil, 1<<63), '{'))
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, server := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			// An answer before the request would be ignored.
			_, _ = server.Read(make([]byte, 1))
			group.Go(func() error {
				_, _ = io.Copy(io.Discard, server)
				return nil
			})
			_, _ = server.Write(answer)
			return server.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c := &rpc.Client{Sentinels: rpc.Sentinels{errRefused}, Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
		var result map[string]int
		err := c.Call(ctx, "call", struct{}{}, &result)
		if errors.Is(err, errRefused) && !bytes.Contains(answer, []byte("-32000")) {
			t.Errorf("call: got %v, want it only with the code of this error", err)
		}
		_ = c.Close()
		if err := group.Wait(); err != nil {
			t.Errorf("server: got %v, want none", err)
		}
	})
}
