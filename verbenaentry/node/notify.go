package node

import (
	"context"
	"encoding/json"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// tellLimit is how many holders are told of jobs at once; what is beyond it reaches them by their watches.
const notificationLimit = 64

// storedJob tells a holder of a job that was stored just now.
type storedJob struct {
	Pool     string          `json:"pool"`
	ID       string          `json:"id"`
	Value    json.RawMessage `json:"value"`
	Revision store.Revision  `json:"revision"`
}

// tell lets a pool's holder know what a request has stored, without waiting: its watch brings that too, but hears nothing for
// seconds when the store forgets its history.
func (n *Node) notifyHolder(name, method string, params any, here func(*pool)) {
	if held := n.pools.get(name); held != nil {
		here(held)
		return
	}
	n.notifications.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := n.Peers.askHolder(ctx, name, method, params, nil); err != nil {
			n.Log.Debug().Str("pool", name).Err(err).Msg("holder not told of a request")
		}
		return nil
	})
}

// stored takes a job over that was stored just now. Those of before the duty was taken come with the list of jobs.
func (p *pool) addStoredJob(s storedJob) error {
	if uint64(s.Revision) < p.fence {
		return nil
	}
	var j workload.Job
	if err := json.Unmarshal(s.Value, &j); err != nil {
		return err
	}
	p.update(func(core *dispatch.Pool) { core.AddJob(j, nil, false, p.node.Clock.Now()) })
	return nil
}

// cancelled takes the wish of a job's caller over, which is stored.
func (p *pool) cancelJob(id string) {
	p.update(func(core *dispatch.Pool) { core.Cancel(id, p.node.Clock.Now()) })
}
