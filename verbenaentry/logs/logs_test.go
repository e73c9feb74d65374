package logs_test

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/verbenaentry/logs"
)

// stalledOutput is an output that blocks until it is released.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.Write(p)
}

// Guards against callers that block while the output of the log is stalled, and against dropped lines that are not counted.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	w := logs.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	const lines = 10000
	began := time.Now()
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatalf("write: got %v, want none", err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing while the output is stalled: took %v, want less than 1s", took)
	}
	if w.Dropped() == 0 {
		t.Errorf("lines left out: got 0, want some")
	}
	close(out.release)
	cancel()
	if err := group.Wait(); err != nil {
		t.Errorf("writer: got %v, want none", err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	written := int64(bytes.Count(out.content.Bytes(), []byte("line\n")))
	if got := written + w.Dropped(); got != lines {
		t.Errorf("lines written and left out: got %d, want %d", got, lines)
	}
}

// Guards against an unlimited rate of log lines.
func TestBudgetLimitsLinesPerSecond(t *testing.T) {
	b := logs.Budget{PerSecond: 3}
	now := time.Unix(100, 0)
	allowed := 0
	for range 10 {
		if _, ok := b.Allow(now); ok {
			allowed++
		}
	}
	if allowed != 3 {
		t.Errorf("lines in a second: got %d, want 3", allowed)
	}
	leftOut, ok := b.Allow(now.Add(time.Second))
	if !ok || leftOut != 7 {
		t.Errorf("first line of the next second: got %v with %d left out, want it with 7", ok, leftOut)
	}
}

// failingOutput writes a part of the first batch and fails.
type failingOutput struct{ written int }

func (f *failingOutput) Write([]byte) (int, error) { return f.written, io.ErrShortWrite }

// Guards against a batch of lines that is lost and counted as one line.
func TestLinesOfALostBatchAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		written int
		want    int64
	}{{"nothing written", 0, 5}, {"two and a half lines written", 12, 3}} {
		t.Run(tt.name, func(t *testing.T) {
			w := logs.NewWriter(&failingOutput{written: tt.written})
			for range 5 {
				if _, err := w.Write([]byte("line\n")); err != nil {
					t.Fatalf("write: got %v, want none", err)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if err := w.Run(ctx); err != nil {
				t.Fatalf("writer: got %v, want none", err)
			}
			if got := w.Dropped(); got != tt.want {
				t.Errorf("lines left out: got %d, want %d", got, tt.want)
			}
		})
	}
}
