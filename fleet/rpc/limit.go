package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/inlet"
)

// Limits bound what the clients of a server can take of its memory.
type Limits struct {
	// MaxMessage is the size of the largest message, in bytes.
	MaxMessage int64
	// Messages holds the messages that are being read, and Calls those that are being answered.
	Messages, Calls *inlet.Room
	// OnRefusal is called for each message or call that was refused; nil for none.
	OnRefusal func(err error, remote net.Addr)
}

const (
	// maxConnCalls is the number of calls of one connection that are answered at a time; the next one is read afterwards.
	maxConnCalls = 256
	// callBytes is the memory of a call beside its message, in bytes, and callCopies the number of copies of its message that exist while it is answered.
	callBytes  = 4 << 10
	callCopies = 4
	// acceptPause is the time before the next attempt to accept a connection once the process has no descriptor for it.
	acceptPause = 100 * time.Millisecond
)

// maxMessage is the size in bytes of the largest message where nothing else is set: 32 values of the store, the most that a transaction has.
const maxMessage = 32 << 20

// sizedCodec reads messages up to a size, for connections without Limits. A message takes memory as it arrives, whatever size it declares.
type sizedCodec struct {
	jsonrpc2.VarintObjectCodec

	max int64
}

// ReadObject reads the next message.
func (c sizedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > uint64(c.max) {
		return fmt.Errorf("%w: %d bytes, want at most %d", inlet.ErrTooLarge, size, c.max)
	}
	content, err := io.ReadAll(io.LimitReader(stream, int64(size)))
	if err == nil && uint64(len(content)) < size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(content, v)
}

func (l *Limits) refused(err error, conn net.Conn) {
	if l.OnRefusal != nil {
		l.OnRefusal(err, conn.RemoteAddr())
	}
}

// codec reads messages of a bounded size into the room of the limits.
type codec struct {
	jsonrpc2.VarintObjectCodec

	ctx    context.Context
	limits *Limits
	conn   net.Conn
}

// ReadObject reads the next message.
func (c codec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	content, share, err := c.limits.Messages.ReadMessage(c.ctx, c.conn, stream, int64(min(size, math.MaxInt64)), c.limits.MaxMessage)
	if err != nil {
		c.limits.refused(err, c.conn)
		return err
	}
	defer share.Release()
	return json.Unmarshal(content, v)
}

// limitedHandler answers the calls of one connection at the same time, as many as the limits allow.
type limitedHandler struct {
	jsonrpc2.Handler

	limits *Limits
	conn   net.Conn
	calls  errgroup.Group
}

func newLimitedHandler(h jsonrpc2.Handler, l *Limits, conn net.Conn) *limitedHandler {
	limited := &limitedHandler{Handler: h, limits: l, conn: conn}
	limited.calls.SetLimit(maxConnCalls)
	return limited
}

// Handle answers a call, and returns once the next one can be read.
func (h *limitedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	size := int64(len(r.Method))
	if r.Params != nil {
		size += int64(len(*r.Params))
	}
	share, err := h.limits.Calls.Take(ctx, callBytes+callCopies*size)
	if err != nil {
		h.limits.refused(err, h.conn)
		if !r.Notif {
			// A connection on which the answer cannot be sent is closed by its next read.
			_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		}
		return
	}
	h.calls.Go(func() error {
		defer share.Release()
		h.Handler.Handle(ctx, conn, r)
		return nil
	})
}

// isExhausted reports whether a connection could not be accepted for want of a resource of the process or the machine, or because its client had
// closed it.
func isExhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
