package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
)

// machine is a machine of the platform.
type machine struct {
	id, pool, rack, state string
	cpu, mem              int64
	worker                *worker
	waves                 map[string]bool
	inWave                string
	// The last order: its holder, its token and when it came.
	holder    string
	fence     uint64
	orderedAt time.Time
}

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// serveCloud answers calls about machines. An order is carried out when it arrives. If lost selects it, its connection is then reset in place of an answer.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if r.URL.Path == "/api/machines" {
		list := []map[string]any{}
		for _, m := range w.machines {
			e := map[string]any{"Machine": m.id, "Pool": m.pool, "State": m.state, "Zone": "z1", "Labels": []string{"a", m.rack},
				"Capacity": map[string]any{"Cpu": m.cpu, "MemMb": m.mem, "Gpu": 0}, "Id": ""}
			if m.worker != nil && m.worker.up {
				e["Id"] = m.worker.id
			}
			list = append(list, e)
		}
		w.mu.Unlock()
		reply(rw, 200, map[string]any{"Machines": list, "NextToken": ""})
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.mu.Unlock()
		reply(rw, 400, nil)
		return
	}
	m := w.machines[o.Machine]
	if w.soak && w.disturbCloud(rw, r) {
		return
	}
	holder := r.Header.Get("Lease-Holder") + " token " + r.Header.Get("Fencing-Token")
	if m == nil {
		w.mu.Unlock()
		reply(rw, 400, nil)
		return
	}
	wave := string(o.Wave)
	what := "move to " + o.Pool
	if strings.HasSuffix(r.URL.Path, "upkeep") {
		what = "upkeep for wave " + wave
	}
	w.checkHolder(m, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
	status, reason := 200, ""
	switch {
	case strings.HasSuffix(r.URL.Path, "upkeep") && m.waves[wave], strings.HasSuffix(r.URL.Path, "move") && m.pool == o.Pool:
		what += " (done already)"
	case m.state != "up":
		status, reason = 409, "busy"
	default:
		from := m.pool
		w.say("order by %s: %s of %s in %s is carried out", holder, what, m.id, from)
		w.checkMachineOrder(m, wave, strings.HasSuffix(r.URL.Path, "upkeep"))
		if m.worker != nil && m.worker.up {
			for _, x := range m.worker.sortedRuns() {
				w.orderEnds(m.worker, x, what)
				w.say("run %s/%d ends with its machine %s", x.task, x.n, m.id)
			}
			m.worker.die()
		}
		m.worker = nil
		if strings.HasSuffix(r.URL.Path, "upkeep") {
			m.waves[wave], m.state, m.inWave = true, "upkeep", wave
			w.after(upkeepTime, func() { w.back(m) })
		} else {
			m.pool, m.state = o.Pool, "moving"
			w.after(moveTime, func() { w.back(m) })
		}
		if w.trouble && w.lost != nil && w.lost(m, from, what) {
			w.say("TROUBLE: the connection of this order is reset, its answer is lost")
			w.mu.Unlock()
			c, _, err := rw.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			return
		}
	}
	w.say("order by %s: %s of %s is answered %d %s", holder, what, m.id, status, reason)
	w.mu.Unlock()
	if reason != "" {
		reply(rw, status, map[string]any{"Reason": reason})
		return
	}
	reply(rw, status, map[string]any{})
}

// back ends a move or an upkeep.
func (w *world) back(m *machine) {
	m.state = "up"
	if m.pool == w.standby {
		w.say("machine %s is in the standby pool", m.id)
		return
	}
	w.newWorker(m)
}
