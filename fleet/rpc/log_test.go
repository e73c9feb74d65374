package rpc_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/rpc"
)

// lineBuffer holds the lines that were written so far.
type lineBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lineBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSuffix(b.content.String(), "\n"), "\n")
}

// Guards against a message that cannot be decoded and leaves no line in the log, or one of the length of the message.
func TestUndecodableMessageIsLogged(t *testing.T) {
	listener := newPipeListener()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out lineBuffer
	log := zerolog.New(&out)
	var group errgroup.Group
	server := &rpc.Server{Listener: listener, Handler: echo, Log: &log}
	group.Go(func() error { return server.Run(ctx) })
	conn, err := listener.dial(ctx, "", "")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write(frame(`{"jsonrpc":"2.0","id":{"` + strings.Repeat("x", 10_000) + `":1},"method":"echo"}`))
	// The server closes the connection.
	_, _ = conn.Read(make([]byte, 1))
	for len(out.lines()[0]) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("server: got %v, want none", err)
	}
	var line struct{ Level, Remote, Detail, Message string }
	if err := json.Unmarshal([]byte(out.lines()[0]), &line); err != nil {
		t.Fatalf("line %q: got %v, want JSON", out.lines()[0], err)
	}
	const maxDetail = 256
	if got := len(out.lines()); got != 1 || line.Level != "info" || line.Remote == "" || line.Detail == "" || len(line.Detail) > maxDetail {
		t.Errorf("lines: got %d, the first one %+v, want one with a remote address and a detail of up to %d bytes", got, line, maxDetail)
	}
}
