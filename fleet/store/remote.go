package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"verbenalanding.example/fleet/rpc"
)

// callTimeout bounds a call other than a watch; a healthy store answers in milliseconds.
const callTimeout = 3 * time.Second

// sentinels are the package's errors that keep their identity over a connection; the wire codes follow their order.
var sentinels = rpc.Sentinels{ErrNotFound, ErrConflict, ErrUnavailable, ErrLeaseExpired, ErrCompacted, ErrTooLarge, ErrOverShare}

type listParams struct {
	Prefix string `json:"prefix"`
	From   string `json:"from"`
	Limit  int    `json:"limit"`
}

type watchParams struct {
	Prefix string        `json:"prefix"`
	After  Revision      `json:"after"`
	Wait   time.Duration `json:"wait"`
}

type keyParams struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
}

type leaseParams struct {
	ID  LeaseID       `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Remote is a Store that calls another process's store over TCP.
type Remote struct {
	client rpc.Client
}

// NewRemote returns a client of the store at an address.
func NewRemote(addr netip.AddrPort) *Remote {
	return &Remote{client: rpc.Client{Addr: addr, Sentinels: sentinels}}
}

// Get returns the entry of key, or ErrNotFound.
func (r *Remote) Get(ctx context.Context, key string) (Entry, error) {
	return call[Entry](ctx, r, callTimeout, "store.get", keyParams{Key: key})
}

// List returns a page of the entries under prefix.
func (r *Remote) List(ctx context.Context, prefix, from string, limit int) (Page, error) {
	return call[Page](ctx, r, callTimeout, "store.list", listParams{Prefix: prefix, From: from, Limit: limit})
}

// Put writes a key that has the expected revision.
func (r *Remote) Put(ctx context.Context, p PutRequest) (Revision, error) {
	return call[Revision](ctx, r, callTimeout, "store.put", p)
}

// Delete removes a key that has the expected revision.
func (r *Remote) Delete(ctx context.Context, key string, expect Revision) error {
	_, err := call[struct{}](ctx, r, callTimeout, "store.delete", keyParams{Key: key, Expect: expect})
	return err
}

// Watch waits for events under prefix after a revision.
func (r *Remote) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error) {
	return call[Batch](ctx, r, wait+callTimeout, "store.watch", watchParams{Prefix: prefix, After: after, Wait: wait})
}

// Grant creates a lease.
func (r *Remote) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return call[LeaseID](ctx, r, callTimeout, "store.grant", leaseParams{TTL: ttl})
}

// Renew extends a lease.
func (r *Remote) Renew(ctx context.Context, id LeaseID) error {
	_, err := call[struct{}](ctx, r, callTimeout, "store.renew", leaseParams{ID: id})
	return err
}

// Revoke ends a lease and removes its keys.
func (r *Remote) Revoke(ctx context.Context, id LeaseID) error {
	_, err := call[struct{}](ctx, r, callTimeout, "store.revoke", leaseParams{ID: id})
	return err
}

// Close ends the connection.
func (r *Remote) Close() error { return r.client.Close() }

func call[T any](ctx context.Context, r *Remote, timeout time.Duration, method string, params any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result T
	err := r.client.Call(ctx, method, params, &result)
	if errors.Is(err, rpc.ErrUnreachable) {
		err = fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return result, err
}

// Serve returns a handler that answers the calls of a Remote with a store.
func Serve(s Store) rpc.Handler {
	return func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		switch method {
		case "store.get":
			return rpc.Answer(params, func(p keyParams) (Entry, error) { return s.Get(ctx, p.Key) })
		case "store.list":
			return rpc.Answer(params, func(p listParams) (Page, error) { return s.List(ctx, p.Prefix, p.From, p.Limit) })
		case "store.put":
			return rpc.Answer(params, func(p PutRequest) (Revision, error) { return s.Put(ctx, p) })
		case "store.delete":
			return rpc.Answer(params, func(p keyParams) (struct{}, error) { return struct{}{}, s.Delete(ctx, p.Key, p.Expect) })
		case "store.watch":
			return rpc.Answer(params, func(p watchParams) (Batch, error) { return s.Watch(ctx, p.Prefix, p.After, p.Wait) })
		case "store.grant":
			return rpc.Answer(params, func(p leaseParams) (LeaseID, error) { return s.Grant(ctx, p.TTL) })
		case "store.renew":
			return rpc.Answer(params, func(p leaseParams) (struct{}, error) { return struct{}{}, s.Renew(ctx, p.ID) })
		case "store.revoke":
			return rpc.Answer(params, func(p leaseParams) (struct{}, error) { return struct{}{}, s.Revoke(ctx, p.ID) })
		default:
			return nil, fmt.Errorf("no method %s", method)
		}
	}
}

// Sentinels returns the errors whose identity a server with the handler of Serve has to preserve.
func Sentinels() rpc.Sentinels { return sentinels }
