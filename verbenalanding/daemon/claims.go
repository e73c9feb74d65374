package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/claim/journal"
	"verbenalanding.example/fleet/duty"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// claimDutyPrefix is the name prefix of the duties for claim shards.
const claimDutyPrefix = "claim/"

// errNoHolder is returned while a claim shard moves to another holder; the same claim may be sent again.
var errNoHolder = errors.New("claim shard has no holder now")

// claims routes claims to the holder of their shard, in this process or at a peer.
type claims struct {
	daemon  *Daemon
	mirrors *mirrors
	node    *peer.Node
	store   store.Store
	log     zerolog.Logger

	mu      sync.Mutex
	holders map[int]*journal.Holder
}

func newClaims(d *Daemon, m *mirrors, n *peer.Node, s stores, log zerolog.Logger) *claims {
	return &claims{daemon: d, mirrors: m, node: n, store: s[store.Claims], log: log, holders: map[int]*journal.Holder{}}
}

// runShard runs the holder of a claim shard until the context ends.
func (c *claims) runShard(ctx context.Context, t duty.Term, shard int) error {
	h := &journal.Holder{Store: c.store, Shard: shard, Epoch: t.Epoch, Log: c.log}
	h.Default()
	c.mu.Lock()
	c.holders[shard] = h
	c.mu.Unlock()
	err := h.Run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders[shard] == h {
		delete(c.holders, shard)
	}
	return err
}

func (c *claims) localHolder(shard int) *journal.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[shard]
}

// holder returns the shard's holder in this process, or the record of the entry instance that holds the shard.
func (c *claims) holder(shard int) (*journal.Holder, record.Entry, error) {
	if h := c.localHolder(shard); h != nil {
		return h, record.Entry{}, nil
	}
	d, _, ok := c.mirrors.duties.Get(claimDutyPrefix + strconv.Itoa(shard))
	if !ok || d.Holder == "" || d.Holder == c.daemon.Settings.ID {
		return nil, record.Entry{}, fmt.Errorf("claim shard %d: %w", shard, errNoHolder)
	}
	e, _, ok := c.mirrors.members.Get(d.Holder + record.LiveSuffix)
	if !ok {
		return nil, record.Entry{}, fmt.Errorf("claim shard %d: %w", shard, errNoHolder)
	}
	return nil, e, nil
}

// Claim asks the holder of the request's shard for the right to run the request.
func (c *claims) Claim(ctx context.Context, r claim.Request) (claim.Answer, error) {
	local, remote, err := c.holder(claim.ShardOf(r.Service, r.KeyHash))
	if err != nil {
		return claim.Answer{}, err
	}
	if local != nil {
		return local.Claim(ctx, r), nil
	}
	answer, err := c.node.Claim(ctx, remote.PeerAddr, r)
	if err == nil && answer.Decision == claim.Refused && answer.Reason == claim.ReasonNotHolder {
		// The shard moved after the mirror was read; nothing was granted, so the claim may be sent again.
		return claim.Answer{}, errNoHolder
	}
	return answer, err
}

// Finish reports the outcome of a claimed request.
func (c *claims) Finish(ctx context.Context, f claim.Finish) error {
	local, remote, err := c.holder(claim.ShardOf(f.Service, f.KeyHash))
	if err != nil {
		return err
	}
	if local != nil {
		return local.Finish(f)
	}
	return c.node.FinishClaim(ctx, remote.PeerAddr, f)
}

// serveClaim handles a peer's claim; it is refused unless this process holds the shard.
func (c *claims) serveClaim(ctx context.Context, r claim.Request) claim.Answer {
	h := c.localHolder(claim.ShardOf(r.Service, r.KeyHash))
	if h == nil {
		return claim.Answer{Decision: claim.Refused, Reason: claim.ReasonNotHolder}
	}
	return h.Claim(ctx, r)
}

// serveFinish handles a peer's report of an outcome; it fails unless this process holds the shard.
func (c *claims) serveFinish(f claim.Finish) error {
	h := c.localHolder(claim.ShardOf(f.Service, f.KeyHash))
	if h == nil {
		return errNoHolder
	}
	return h.Finish(f)
}
