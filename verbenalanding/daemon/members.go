package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// readMembers reads the registrations and live keys of the entry instances from the store.
func readMembers(ctx context.Context, s store.Store) (map[string]record.Entry, error) {
	entries, _, err := store.ListAll(ctx, s, record.EntryPrefix)
	if err != nil {
		return nil, fmt.Errorf("list entry instances: %w", err)
	}
	members := make(map[string]record.Entry, len(entries))
	for _, e := range entries {
		var m record.Entry
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return nil, fmt.Errorf("decode %s: %w", e.Key, err)
		}
		members[strings.TrimPrefix(e.Key, record.EntryPrefix)] = m
	}
	return members, nil
}

// peerAddresses returns the addresses of the other registered entry instances and of unregistered ones from the settings.
func peerAddresses(d *Daemon, m *mirrors) []peer.Address {
	self := d.PeerAddr()
	included := map[netip.AddrPort]bool{self: true}
	var peers []peer.Address
	for id, e := range record.MembersOf(m.members.All()).Registered {
		if included[e.PeerAddr] {
			continue
		}
		included[e.PeerAddr] = true
		peers = append(peers, peer.Address{ID: id, Addr: e.PeerAddr})
	}
	for _, a := range d.Settings.Peers {
		if !included[a.AddrPort] {
			included[a.AddrPort] = true
			peers = append(peers, peer.Address{ID: a.String(), Addr: a.AddrPort})
		}
	}
	return peers
}
