package node

import "verbenalanding.example/fleet/workload"

// allDone reports whether the store names all machines of a wave as done and none of its slots is reserved.
func (u *upkeeps) allDone(w workload.Wave) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range w.Machines {
		if !u.done[w.ID][id] {
			return false
		}
	}
	for range u.slotsOf(w.ID) {
		return false
	}
	return true
}
