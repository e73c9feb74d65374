package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxTransaction = 32
	pageItems      = 500
	valueBytes     = 1 << 20
)

// item is an entry of the store, or the removal of a key.
type item struct {
	Key           string
	Value         []byte `json:",omitempty"`
	Revision      uint64
	Created       uint64 `json:",omitempty"`
	Lease         uint64 `json:",omitempty"`
	Tombstone     bool   `json:",omitempty"`
	StoreRevision uint64 `json:",omitempty"`
}

type transaction struct {
	Precondition []struct {
		Key      string
		Revision uint64
	}
	Puts []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Delete []string
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]*storeLease
	next     uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), revision: 1, next: 1000}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: lease}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, content, 0)
	s.notify()
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/api/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("Key")]
		i.StoreRevision = s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, i)
	case r.URL.Path == "/api/kv-range":
		s.list(w, q)
	case r.URL.Path == "/api/kv-watch":
		s.watch(w, r, q)
	case r.URL.Path == "/api/kv-txn":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Delete) > maxTransaction {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := s.apply(&t)
		reply(w, status, body)
	case r.URL.Path == "/api/kv-lease":
		var l struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&l) != nil || l.TtlMs <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.next++
		id, ttl := s.next, time.Duration(l.TtlMs)*time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": l.TtlMs})
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"), strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
			w.WriteHeader(http.StatusOK)
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) apply(t *transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []item{}
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if len(p.Value) > valueBytes {
			return http.StatusBadRequest, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

func (s *store) list(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("Prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		waiting := len(events) == 0
		if waiting {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
		return
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
