package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// cancelledIDAge is how long a holder keeps the mark of a cancelled id. The platform carries writes out seconds late.
	cancelledIDAge = 10 * time.Minute
	// cancelledIDInterval is how often the marks are listed.
	cancelledIDInterval = time.Minute
)

// cancelledIDs deletes the marks of ids that were cancelled before a job with them was accepted, once no write can store such a job any more.
type cancelledIDs struct {
	pool *pool
	// lists holds when the marks were listed in the last cancelledIDAge, and the revision of the store then. Whoever cancels ids chooses how many marks there
	// are, so that none is kept for each of them.
	lists []listTime
}

// listTime is when a list was requested. It has all keys with a revision up to the store's.
type listTime struct {
	at       time.Time
	revision store.Revision
}

func (c *cancelledIDs) run(ctx context.Context) error {
	for range interval.Each(ctx, cancelledIDInterval) {
		c.deleteExpired(ctx)
	}
	return nil
}

// deleteExpired lists the marks and deletes those that are old enough; what fails is tried again the next time.
func (c *cancelledIDs) deleteExpired(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelledIDInterval/2)
	defer cancel()
	now := c.pool.node.Clock.Now()
	from := ""
	for {
		page, err := c.pool.node.Store.List(ctx, cancelledPrefix(c.pool.name), from, 0)
		if err != nil {
			c.pool.log.Debug().Err(err).Msg("cancelled ids not listed")
			return
		}
		if from == "" {
			c.lists = append(c.lists, listTime{now, page.Revision})
		}
		if err := c.delete(ctx, c.expired(page.Entries, now)); err != nil {
			c.pool.log.Debug().Err(err).Msg("marks of cancelled ids not deleted yet")
			return
		}
		if page.Next == "" {
			return
		}
		from = page.Next
	}
}

// expired returns the keys of the marks that were there in a list of cancelledIDAge ago, and drops the lists before that one.
func (c *cancelledIDs) expired(entries []store.Entry, now time.Time) []string {
	for len(c.lists) > 1 && now.Sub(c.lists[1].at) >= cancelledIDAge {
		c.lists = c.lists[1:]
	}
	oldest := c.lists[0]
	if now.Sub(oldest.at) < cancelledIDAge {
		return nil
	}
	var keys []string
	for _, e := range entries {
		if e.Revision <= oldest.revision {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// delete deletes marks, and those that refuse the ids.
func (c *cancelledIDs) delete(ctx context.Context, keys []string) error {
	const keysPerID = 2
	const perCall = (store.MaxTransaction - 1) / keysPerID
	for chunk := range slices.Chunk(keys, perCall) {
		t := store.Transaction{If: []store.Condition{c.pool.dutyCondition()}}
		for _, key := range chunk {
			queue, id, _ := strings.Cut(strings.TrimPrefix(key, cancelledPrefix(c.pool.name)), "/")
			t.Delete = append(t.Delete, key, acceptedKey(queue, id))
		}
		if _, _, err := c.pool.node.Store.Apply(ctx, t); err != nil {
			return err
		}
	}
	return nil
}
