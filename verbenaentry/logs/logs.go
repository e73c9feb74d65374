package logs

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/ring"
)

const (
	// ringSize is how many lines may wait for a slow reader of the output.
	ringSize = 2048
	// batchBytes bounds what is written in one call.
	batchBytes = 32 << 10
	// reportEvery is how often the number of lines left out is told.
	reportEvery = 5 * time.Second
	// gather is how long lines wait for others, to be written in one call.
	gather = 20 * time.Millisecond
)

// Writer passes lines to an output in a goroutine of its own.
type Writer struct {
	Out io.Writer

	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer to out; lines are written while Run runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{Out: out, lines: ring.New[[]byte](ringSize)}
}

// Write takes a line, or counts it as left out when the ring is full.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.Offer(bytes.Clone(line)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	told := time.Now()
	toldCount := int64(0)
	var batch bytes.Buffer
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			w.flushRest(&batch)
			return nil
		}
		batch.Write(line)
		select {
		case <-time.After(gather):
		case <-ctx.Done():
		}
		w.drain(&batch)
		if n := w.Dropped(); n > toldCount && time.Since(told) > reportEvery {
			logger := zerolog.New(&batch).With().Timestamp().Logger()
			logger.Warn().Int64("lines", n-toldCount).Msg("log lines left out")
			told, toldCount = time.Now(), n
		}
		w.write(&batch)
	}
}

func (w *Writer) drain(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line := <-w.lines.Items():
			batch.Write(line)
		default:
			return
		}
	}
}

func (w *Writer) flushRest(batch *bytes.Buffer) {
	for w.lines.Len() > 0 {
		w.drain(batch)
		w.write(batch)
	}
}

func (w *Writer) write(batch *bytes.Buffer) {
	// A closed output leaves no place to report its error to.
	if _, err := w.Out.Write(batch.Bytes()); err != nil {
		w.dropped.Add(1)
	}
	batch.Reset()
}

// Budget lets a bounded number of lines through each second.
type Budget struct {
	// PerSecond is the number of lines of a kind that are written in a second.
	PerSecond int64

	second atomic.Int64
	count  atomic.Int64
	left   atomic.Int64
}

// Allow reports whether a line may be written now, and how many were left out since the last one that was.
func (b *Budget) Allow(now time.Time) (leftOut int64, ok bool) {
	if s := now.Unix(); b.second.Swap(s) != s {
		b.count.Store(0)
	}
	if b.count.Add(1) > b.PerSecond {
		b.left.Add(1)
		return 0, false
	}
	return b.left.Swap(0), true
}
