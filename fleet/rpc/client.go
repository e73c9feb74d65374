package rpc

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout bounds a connection attempt; data centres are milliseconds apart.
const dialTimeout = time.Second

// dialErrorTTL is how long later calls return the error of a failed connection attempt, so that calls to a lost process fail immediately.
const dialErrorTTL = 100 * time.Millisecond

// Client calls one other process, over one connection that it opens again after a failure.
type Client struct {
	Addr      netip.AddrPort
	Sentinels Sentinels
	// Dial opens a connection; nil opens a TCP connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Log gets a line for each message that cannot be decoded or has no call; nil writes to standard error.
	Log *zerolog.Logger
	// MaxMessage is the size of the largest message that the other process may send, in bytes; 0 selects the default.
	MaxMessage int64

	// received counts the messages that the other process sent.
	received atomic.Int64

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// dialing is closed when the current connection attempt ends; nil when there is none.
	dialing chan struct{}
	dialErr error
	dialEnd time.Time
}

// Call sends a call and decodes its result; it returns ErrUnreachable when no answer arrived before the context ended.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return fmt.Errorf("%w: %w: %w", ErrUnreachable, ErrNotSent, err)
	}
	sent, err := dispatch(ctx, conn, method, params)
	if err == nil {
		err = sent.Wait(ctx, result)
	}
	if err != nil {
		return c.Sentinels.decode(err)
	}
	return nil
}

// dispatch writes a call. A write that blocks when the context ends is ended with its connection: the other process does not read, and the calls
// that follow would wait behind the write.
func dispatch(ctx context.Context, conn *jsonrpc2.Conn, method string, params any) (jsonrpc2.Waiter, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	return conn.DispatchCall(ctx, method, params)
}

// Received returns how many messages the other process has sent. A call without an answer during which none arrived may have been sent on a dead
// connection.
func (c *Client) Received() int64 { return c.received.Load() }

// Close ends the connection; a later call opens a new one.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return err
}

// connect returns the open connection, or opens one; concurrent calls share one connection attempt.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		c.mu.Lock()
		if c.conn != nil {
			select {
			case <-c.conn.DisconnectNotify():
				c.conn = nil
			default:
				defer c.mu.Unlock()
				return c.conn, nil
			}
		}
		if c.dialing == nil && c.dialErr != nil && time.Since(c.dialEnd) < dialErrorTTL {
			defer c.mu.Unlock()
			return nil, c.dialErr
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			c.mu.Unlock()
			return c.dial(ctx)
		}
		dialing := c.dialing
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-dialing:
		}
	}
}

func (c *Client) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	raw, err := dial(ctx, "tcp", c.Addr.String())
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing, c.dialErr, c.dialEnd = nil, err, time.Now()
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(raw, sizedCodec{max: cmp.Or(c.MaxMessage, maxMessage)})
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectCall), logOption(c.Log, raw),
		jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) { c.received.Add(1) }))
	return c.conn, nil
}

// rejectCall rejects calls from a server, since servers never call their clients.
func rejectCall(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + r.Method}
}
