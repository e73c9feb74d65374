package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// item is an entry of the store, or the deletion of a key.
type item struct {
	Key           string
	Value         []byte `json:",omitempty"`
	Revision      uint64
	Created       uint64 `json:",omitempty"`
	Lease         uint64
	Tombstone     bool   `json:",omitempty"`
	StoreRevision uint64 `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
	// node is the one to which the lease was granted.
	node any
}

// kv is the platform's store. The lock of the world guards it.
type kv struct {
	items    map[string]item
	history  []item
	revision uint64
	// compacted is the revision up to which the history is dropped.
	compacted uint64
	changed   chan struct{}
	leases    map[uint64]*lease
	last      uint64
}

func newKV() *kv {
	return &kv{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), revision: 1}
}

// compact drops the history.
func (s *kv) compact() {
	s.history, s.compacted = nil, s.revision
	s.notify()
}

func (s *kv) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kv) set(key string, value []byte, l uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: l}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kv) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// put writes a key as the operator or a worker does.
func (s *kv) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.revision++
	s.set(key, b, 0)
	s.notify()
}

func (s *kv) drop(key string) {
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *kv) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *kv) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(k)
		}
	}
	s.notify()
}

type cond struct {
	Key      string
	Revision uint64
}

type put struct {
	Key   string
	Value []byte
	Lease uint64
}

type txn struct {
	Precondition []cond
	Puts         []put
	Delete       []string
}

func (s *kv) apply(t txn) (int, any) {
	if len(t.Precondition)+len(t.Puts)+len(t.Delete) > 32 {
		return 400, nil
	}
	current, conflict := []item{}, false
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != c.Revision
	}
	if conflict {
		return 412, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Delete {
		s.remove(k)
	}
	s.notify()
	return 200, map[string]any{"Revision": s.revision}
}

func (w *world) serveStore(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if w.soak && w.disturbStore(rw, r) {
		return
	}
	if r.URL.Path == "/api/kv-watch" {
		w.watch(rw, r)
		return
	}
	var status int
	var body any
	switch p := r.URL.Path; {
	case p == "/api/kv-key":
		w.mu.Lock()
		i, ok := w.kv.items[q.Get("Key")]
		i.StoreRevision = w.kv.revision
		w.mu.Unlock()
		status, body = 200, i
		if !ok {
			status, body = 404, nil
		}
	case p == "/api/kv-range":
		w.mu.Lock()
		items := []item{}
		for k, i := range w.kv.items {
			if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("After") {
				items = append(items, i)
			}
		}
		revision := w.kv.revision
		w.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		status, body = 200, map[string]any{"items": items, "HasMore": more, "StoreRevision": revision}
	case p == "/api/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			status = 400
			break
		}
		w.mu.Lock()
		if w.delay != nil {
			if d := w.delay(t); d > 0 {
				w.mu.Unlock()
				w.after(d, func() {
					status, _ := w.kv.apply(t)
					w.say("the late write is carried out: %d", status)
				})
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
		status, body = w.kv.apply(t)
		node, _ := r.Context().Value(nodeKey{}).(string)
		if status == 200 && w.onWrite != nil {
			w.onWrite(node, t)
		}
		w.mu.Unlock()
	case p == "/api/kv-lease":
		var l struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&l) != nil || l.TtlMs <= 0 {
			status = 400
			break
		}
		w.mu.Lock()
		w.kv.last++
		ttl := time.Duration(max(l.TtlMs, 1000)) * time.Millisecond
		w.kv.leases[w.kv.last] = &lease{ttl, time.Now().Add(ttl), r.Context().Value(nodeKey{})}
		status, body = 200, map[string]any{"Lease": w.kv.last, "TtlMs": ttl.Milliseconds()}
		w.mu.Unlock()
	case strings.HasPrefix(p, "/api/kv-keep/"), strings.HasPrefix(p, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(p[strings.LastIndexByte(p, '/')+1:], 10, 64)
		w.mu.Lock()
		l := w.kv.leases[id]
		switch {
		case l == nil:
			status = 404
		case strings.HasPrefix(p, "/api/kv-keep/"):
			l.end = time.Now().Add(l.ttl)
			status, body = 200, map[string]any{"Lease": id, "TtlMs": l.ttl.Milliseconds()}
		default:
			w.kv.endLease(id)
			status = 200
		}
		w.mu.Unlock()
	default:
		status = 404
	}
	reply(rw, status, body)
}

func (w *world) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		w.mu.Lock()
		events := []item{}
		for n := len(w.kv.history) - 1; n >= 0 && w.kv.history[n].Revision > after; n-- {
			if strings.HasPrefix(w.kv.history[n].Key, q.Get("Prefix")) {
				events = append(events, w.kv.history[n])
			}
		}
		revision, changed, gone := w.kv.revision, w.kv.changed, after < w.kv.compacted
		if w.f.deaf {
			events, revision, gone = nil, after, false
		}
		node, _ := r.Context().Value(nodeKey{}).(string)
		down := w.f.storeDown != "" || w.f.cutNodes[node] != ""
		w.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if gone {
			rw.WriteHeader(410)
			return
		}
		for a, b := 0, len(events)-1; a < b; a, b = a+1, b-1 {
			events[a], events[b] = events[b], events[a]
		}
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
			case <-end:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			if events == nil {
				events = []item{}
			}
			reply(rw, 200, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	if body == nil {
		rw.WriteHeader(status)
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}
