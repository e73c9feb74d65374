package store_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

func serve(t *testing.T, s store.Store) *store.Remote {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	server := rpc.Server{Listener: listener, Handler: store.Serve(s), Sentinels: store.Sentinels()}
	check.Background(t, server.Run, nil)
	return store.NewRemote(netip.MustParseAddrPort(listener.Addr().String()))
}

func TestRemote(t *testing.T) {
	ctx := context.Background()
	backend := standin.NewStore()
	s := serve(t, backend)
	t.Run("errors keep their identity over the connection", func(t *testing.T) {
		_, err := s.Get(ctx, "missing")
		check.ErrorIs(t, err, store.ErrNotFound)
		_, err = s.Put(ctx, store.PutRequest{Key: "a", Expect: 7})
		check.ErrorIs(t, err, store.ErrConflict)
		check.ErrorIs(t, s.Renew(ctx, 99), store.ErrLeaseExpired)
	})
	t.Run("a pending watch does not block other calls", func(t *testing.T) {
		var group errgroup.Group
		var batch store.Batch
		group.Go(func() (err error) {
			batch, err = s.Watch(ctx, "k", 0, 5*time.Second)
			return err
		})
		time.Sleep(20 * time.Millisecond)
		_, err := s.Put(ctx, store.PutRequest{Key: "k", Value: []byte("v")})
		check.NoError(t, err)
		check.NoError(t, group.Wait())
		check.Equal(t, "value", string(batch.Events[0].Entry.Value), "v")
	})
	t.Run("a server that is not running is unavailable", func(t *testing.T) {
		stopped := store.NewRemote(netip.MustParseAddrPort("127.0.0.1:1"))
		_, err := stopped.Get(ctx, "a")
		check.ErrorIs(t, err, store.ErrUnavailable)
	})
}

// Guards against a mechanism that uses up the call rate of the store, which all mechanisms share.
func TestMeteredRefusesAboveItsShare(t *testing.T) {
	m := store.NewMetered(standin.NewStore(), store.Claims, 100, metrics.NewRegistry())
	var err error
	for range 1000 {
		if _, err = m.Get(context.Background(), "a"); err != nil && !isNotFound(err) {
			break
		}
	}
	check.ErrorIs(t, err, store.ErrOverShare)
}

func isNotFound(err error) bool { return err.Error() == store.ErrNotFound.Error() }
