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
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/intake"
	"verbenalanding.example/fleet/rpc"
)

// smallLimits allow messages of 64 kB, and calls that take 128 kB in all.
func smallLimits() *rpc.Limits {
	room := func(bytes int64) *inlet.Room {
		return inlet.NewRoom(intake.Settings{Bytes: bytes, Reserve: bytes / 4, Small: 16 << 10, MaxWaiting: bytes, Stall: time.Second, Rate: 1 << 10},
			100*time.Millisecond, time.Second, 10*time.Second)
	}
	return &rpc.Limits{MaxMessage: 64 << 10, Messages: room(256 << 10), Calls: room(128 << 10)}
}

// limitedServer starts a server with smallLimits, and returns how clients reach it and the errors for which it refused messages and calls.
func limitedServer(t *testing.T, handler rpc.Handler) (dial func(context.Context, string, string) (net.Conn, error), refused chan error) {
	t.Helper()
	listener := newPipeListener()
	limits := smallLimits()
	refused = make(chan error, 64)
	limits.OnRefusal = func(err error, _ net.Addr) { refused <- err }
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	server := &rpc.Server{Listener: listener, Handler: handler, Limits: limits}
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("server: got %v, want no error", err)
		}
	})
	return listener.dial, refused
}

func wantRefusal(t *testing.T, refused chan error, want error) {
	t.Helper()
	select {
	case err := <-refused:
		if !errors.Is(err, want) {
			t.Errorf("refusal: got %v, want %v", err, want)
		}
	case <-time.After(10 * time.Second):
		t.Errorf("refusal: got none, want %v", want)
	}
}

// Guards against a message that takes memory as long as its client sends.
func TestMessageBeyondTheLimitEndsItsConnection(t *testing.T) {
	dial, refused := limitedServer(t, echo)
	client := &rpc.Client{Addr: netip.MustParseAddrPort("10.0.0.1:1"), Dial: dial}
	defer func() { _ = client.Close() }()
	var got string
	if err := client.Call(t.Context(), "echo", strings.Repeat("a", 60<<10), &got); err != nil || len(got) != 60<<10 {
		t.Errorf("call within the limit: got %d bytes and %v, want its params", len(got), err)
	}
	if err := client.Call(t.Context(), "echo", strings.Repeat("a", 64<<10), &got); !errors.Is(err, rpc.ErrUnreachable) {
		t.Errorf("call beyond the limit: got %v, want %v", err, rpc.ErrUnreachable)
	}
	wantRefusal(t, refused, inlet.ErrTooLarge)
}

// Guards against calls that take memory as long as their client sends and nothing answers them, and against a server that is lost with them.
func TestCallsBeyondTheRoomAreRefused(t *testing.T) {
	answer := make(chan struct{})
	dial, refused := limitedServer(t, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		if method == "wait" {
			select {
			case <-answer:
			case <-ctx.Done():
			}
		}
		return echo(ctx, "echo", params)
	})
	conn, err := dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		_, _ = io.Copy(io.Discard, conn)
		return nil
	})
	call := frame(`{"jsonrpc":"2.0","id":1,"method":"wait","params":"` + strings.Repeat("a", 4<<10) + `"}`)
	for range 20 {
		if _, err := conn.Write(call); err != nil {
			t.Fatal(err)
		}
	}
	wantRefusal(t, refused, inlet.ErrNoRoom)
	close(answer)
	client := &rpc.Client{Addr: netip.MustParseAddrPort("10.0.0.1:1"), Dial: dial}
	defer func() { _ = client.Close() }()
	var got string
	if err := client.Call(t.Context(), "echo", "text", &got); err != nil || got != "text" {
		t.Errorf("call on another connection: got %q and %v, want the text", got, err)
	}
	_ = conn.Close()
	_ = group.Wait()
}

// exhaustedListener fails to accept until it has failed for each of the errors.
type exhaustedListener struct {
	net.Listener
	errs []error
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a process that ends because it has no descriptor for a new connection.
func TestServerOutOfDescriptorsGoesOn(t *testing.T) {
	pipes := newPipeListener()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	server := &rpc.Server{Listener: &exhaustedListener{Listener: pipes, errs: []error{syscall.EMFILE, syscall.ECONNABORTED}}, Handler: echo}
	group.Go(func() error { return server.Run(ctx) })
	client := &rpc.Client{Addr: netip.MustParseAddrPort("10.0.0.1:1"), Dial: pipes.dial}
	var got string
	if err := client.Call(t.Context(), "echo", "text", &got); err != nil || got != "text" {
		t.Errorf("call after the failures: got %q and %v, want the text", got, err)
	}
	_ = client.Close()
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("server: got %v, want no error", err)
	}
}

// Guards against a process that sends messages without an end, to a client or to a server without limits.
func TestMessageWithoutLimitsIsBounded(t *testing.T) {
	endless := append(binary.AppendUvarint(nil, 1<<40), `{"jsonrpc":"2.0","id":0,"result":"`...)
	block := bytes.Repeat([]byte("a"), 1<<20)
	// flood sends until the other side closes the connection, and returns the number of blocks that it took.
	flood := func(conn net.Conn) (blocks int) {
		_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		_, err := conn.Write(endless)
		for ; err == nil; blocks++ {
			_, err = conn.Write(block)
		}
		return blocks
	}
	const most = 40
	t.Run("client", func(t *testing.T) {
		client, server := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			_, _ = server.Read(make([]byte, 1))
			group.Go(func() error {
				_, _ = io.Copy(io.Discard, server)
				return nil
			})
			if got := flood(server); got > most {
				t.Errorf("answer: got %d MB taken, want at most %d", got, most)
			}
			return server.Close()
		})
		c := &rpc.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
		if err := c.Call(t.Context(), "call", struct{}{}, nil); !errors.Is(err, rpc.ErrUnreachable) {
			t.Errorf("call: got %v, want %v", err, rpc.ErrUnreachable)
		}
		_ = c.Close()
		_ = group.Wait()
	})
	t.Run("server", func(t *testing.T) {
		listener := newPipeListener()
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		server := &rpc.Server{Listener: listener, Handler: echo}
		group.Go(func() error { return server.Run(ctx) })
		conn, err := listener.dial(ctx, "", "")
		if err != nil {
			t.Fatal(err)
		}
		if got := flood(conn); got > most {
			t.Errorf("message: got %d MB taken, want at most %d", got, most)
		}
		_ = conn.Close()
		cancel()
		_ = group.Wait()
	})
}
