package logs

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/ring"
)

const (
	// ringSize is the number of lines that are queued at most while the output is slow.
	ringSize = 2048
	// batchBytes bounds the size of one write to the output.
	batchBytes = 32 << 10
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = 5 * time.Second
	// batchPause is how long a line is delayed, so that later lines are written in the same call.
	batchPause = 20 * time.Millisecond
)

// Writer writes lines to an output from a goroutine of its own.
type Writer struct {
	Out io.Writer

	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a writer to out; lines are written out while Run runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{Out: out, lines: ring.New[[]byte](ringSize)}
}

// Write queues a line, or drops and counts it if the ring is full.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.Offer(bytes.Clone(line)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	reportedAt := time.Now()
	reportedCount := int64(0)
	var batch bytes.Buffer
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			w.flushRemaining(&batch)
			return nil
		}
		batch.Write(line)
		select {
		case <-time.After(batchPause):
		case <-ctx.Done():
		}
		w.drain(&batch)
		if n := w.Dropped(); n > reportedCount && time.Since(reportedAt) > reportInterval {
			logger := zerolog.New(&batch).With().Timestamp().Logger()
			logger.Warn().Int64("lines", n-reportedCount).Msg("log lines left out")
			reportedAt, reportedCount = time.Now(), n
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

func (w *Writer) flushRemaining(batch *bytes.Buffer) {
	for w.lines.Len() > 0 {
		w.drain(batch)
		w.write(batch)
	}
}

func (w *Writer) write(batch *bytes.Buffer) {
	// A failed write to the output cannot be logged; the lines that were not written whole count as dropped.
	if n, err := w.Out.Write(batch.Bytes()); err != nil {
		w.dropped.Add(int64(bytes.Count(batch.Bytes()[min(n, batch.Len()):], []byte("\n"))))
	}
	batch.Reset()
}

// Budget limits the number of lines of a kind per second.
type Budget struct {
	// PerSecond is the number of lines that are written per second.
	PerSecond int64

	second  atomic.Int64
	count   atomic.Int64
	leftOut atomic.Int64
}

// Allow reports whether a line may be written now, and how many lines were left out since the last allowed one.
func (b *Budget) Allow(now time.Time) (leftOut int64, ok bool) {
	if s := now.Unix(); b.second.Swap(s) != s {
		b.count.Store(0)
	}
	if b.count.Add(1) > b.PerSecond {
		b.leftOut.Add(1)
		return 0, false
	}
	return b.leftOut.Swap(0), true
}

// Budgets limits the number of lines of each of several kinds per second.
type Budgets struct {
	// PerSecond is the number of lines of a kind that are written per second.
	PerSecond int64

	kinds sync.Map
}

// Allow reports whether a line of a kind may be written now, and how many of its lines were left out since the last allowed one.
func (b *Budgets) Allow(kind string, now time.Time) (leftOut int64, ok bool) {
	budget, _ := b.kinds.LoadOrStore(kind, &Budget{PerSecond: b.PerSecond})
	return budget.(*Budget).Allow(now)
}
