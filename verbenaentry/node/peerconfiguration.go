package node

import (
	"context"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// staleAfter is the age from which the operator's keys count as possibly out of date; an undisturbed watch is answered within 2 s.
	staleAfter = 3 * time.Second
	// peerConfigurationInterval is how often a node without answers of the store asks other nodes for the configuration.
	peerConfigurationInterval = 500 * time.Millisecond
)

// configurationAnswer is the answer to methodConfiguration.
type configurationAnswer struct {
	// Value is the configuration as the operator wrote it; it is empty if its version is the one that the other node has.
	Value []byte `json:"value,omitempty"`
	// Age is the time since this node knew the configuration to be the newest.
	Age time.Duration `json:"age"`
}

// configurationAfter answers a node that has a version of the configuration, or returns errStoreUnreachable if this node may be out of date
// too.
func (n *Node) configurationAfter(version int64) (any, error) {
	// The age is read first: the configuration that is read after it is at least as new as the age says.
	age := n.View.age()
	routes := n.View.routes()
	if routes == nil || age > staleAfter {
		return nil, errStoreUnreachable
	}
	answer := configurationAnswer{Age: age}
	if routes.Version > version {
		answer.Value = routes.source
	}
	return answer, nil
}

// followConfigurationOfPeers asks other nodes for the configuration while the store does not answer this node, so that its callers do not get the
// answers of an old one.
func (n *Node) followConfigurationOfPeers(ctx context.Context) error {
	for range interval.Each(ctx, peerConfigurationInterval) {
		if routes := n.View.routes(); routes != nil && n.View.age() > staleAfter-peerConfigurationInterval {
			n.askPeersForConfiguration(ctx, routes.Version)
		}
	}
	return nil
}

func (n *Node) askPeersForConfiguration(ctx context.Context, version int64) {
	// Without an answer that can be applied, the next round asks again.
	_ = askOthers(ctx, n, methodConfiguration, version, func(a othersAnswer[configurationAnswer]) bool {
		if len(a.value.Value) > 0 && !n.View.configure(a.value.Value) {
			return false
		}
		n.View.confirm(a.sent.Add(-a.value.Age))
		n.Log.Info().Str("peer", a.from.Node).Int64("version", n.View.Configuration().Version).Dur("age", n.View.age()).Msg("configuration confirmed by another node")
		return true
	})
}
