package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const (
	// workspaces is the number of workspaces. Each has a lasting key, which its callers send, and one that is replaced repeatedly.
	workspaces = 3
	// workspaceCPU is the limit of a workspace in thousandths of a core. Its tasks wait for it at times, and its long-running ones fit into it.
	workspaceCPU = 12000
	// unknownKey is a key that no configuration holds.
	unknownKey = "never-configured"
	// keyInterval is the mean time between two replacements of a key.
	keyInterval = time.Second
	// keyCheckInterval is the time between two requests that check the keys on a process.
	keyCheckInterval = 150 * time.Millisecond
	// watchWait is by how much a delayed answer of a watch makes a configuration seem newer than it is, at most.
	watchWait = 2 * time.Second
	// addedLimit is the time after which no process refuses a key that was added: a node refuses keys only by a configuration that is at most 3 s old.
	addedLimit = 3*time.Second + watchWait
)

// removedLimit returns the time after which no process accepts a key that was removed, whatever fault there is.
func removedLimit() time.Duration {
	b := standin.Bounds()
	return b.Configuration + b.ConfigurationSkew + watchWait
}

// lastingKey returns the key of a workspace that is never removed.
func lastingKey(workspace int) string { return "lasting-" + strconv.Itoa(workspace%workspaces) }

// workspaceOf returns the workspace of a job's caller.
func workspaceOf(j *standin.Job) int { return int(j.ID[len(j.ID)-1]) % workspaces }

// keyTimes holds when the operator's change of a key was acknowledged; the zero time if it was not yet.
type keyTimes struct {
	added, removed time.Time
	// removing is true once the key's removal has begun.
	removing bool
}

// keyRecord holds the keys that the operator has configured, and judges the answers of processes by them.
type keyRecord struct {
	mu      sync.Mutex
	tenants []wire.Tenant
	times   map[string]*keyTimes
	// dropping counts the faults in which the store's watches return no changes, by which a process takes an old configuration for the newest;
	// droppedAt is when the latest one ended.
	dropping  int
	droppedAt time.Time
	// settled is when all processes had the newest configuration in force, without any further change.
	settled time.Time
	broken  error
}

// judge records a violation if the answer to a request that was sent with a key at a time contradicts the configurations.
func (k *keyRecord) judge(node, key string, sent time.Time, status int) {
	accepted := status == http.StatusOK || status == http.StatusMethodNotAllowed || status == http.StatusGone
	k.mu.Lock()
	defer k.mu.Unlock()
	if key == "" || k.broken != nil || (!accepted && status != http.StatusUnauthorized) {
		return
	}
	t := k.times[key]
	if t == nil && accepted {
		k.broken = fmt.Errorf("%w: %s answers %d to a key that was never configured", ErrPromise, node, status)
	}
	if t == nil || k.dropping > 0 || sent.Before(k.droppedAt.Add(removedLimit())) {
		return
	}
	late := func(change time.Time, limit time.Duration) bool {
		return !change.IsZero() && (sent.After(change.Add(limit)) || (!k.settled.IsZero() && sent.After(k.settled)))
	}
	switch {
	case accepted && late(t.removed, removedLimit()):
		k.broken = fmt.Errorf("%w: %s answers %d to the key %s, %v after its removal", ErrPromise, node, status, key, sent.Sub(t.removed))
	case !accepted && !t.removing && late(t.added, addedLimit):
		k.broken = fmt.Errorf("%w: %s refuses the key %s, %v after its addition", ErrPromise, node, key, sent.Sub(t.added))
	}
}

func (k *keyRecord) violation() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.broken
}

// dropEvents notes that a fault in which watches return no changes begins or ends.
func (k *keyRecord) dropEvents(begins bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if begins {
		k.dropping++
		return
	}
	k.dropping--
	k.droppedAt = time.Now()
}

// all returns the keys that are or were configured, and one that never was.
func (k *keyRecord) all() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := []string{unknownKey}
	for key := range k.times {
		list = append(list, key)
	}
	slices.Sort(list)
	return list
}

func workspaceName(i int) string { return "workspace-" + strconv.Itoa(i) }

// startKeys writes the first configuration, with the workspaces and their keys.
func (s *Soak) startKeys() {
	s.keys.times = map[string]*keyTimes{}
	for i := range workspaces {
		s.keys.tenants = append(s.keys.tenants, wire.Tenant{
			Name: workspaceName(i), Weight: 1, APIKeys: []string{lastingKey(i), "first-" + strconv.Itoa(i)}, MaxCount: wire.Resources{CPU: workspaceCPU},
		})
		for _, key := range s.keys.tenants[i].APIKeys {
			s.keys.times[key] = &keyTimes{added: time.Now()}
		}
	}
	s.platform.SetTenants(s.keys.tenants)
	s.configure()
}

// replaceKey replaces the second key of a workspace.
func (s *Soak) replaceKey(workspace int, key string) {
	k := &s.keys
	k.mu.Lock()
	k.tenants = slices.Clone(k.tenants)
	keys := k.tenants[workspace].APIKeys
	added, removed := &keyTimes{}, k.times[keys[1]]
	removed.removing, k.times[key] = true, added
	k.tenants[workspace].APIKeys = []string{keys[0], key}
	tenants := k.tenants
	k.mu.Unlock()
	s.platform.SetTenants(tenants)
	s.configure()
	k.mu.Lock()
	defer k.mu.Unlock()
	added.added, removed.removed = time.Now(), time.Now()
}

// watchKeys replaces keys and sends each process requests with valid, removed and unknown ones until the context ends.
func (s *Soak) watchKeys(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		random := rand.New(rand.NewPCG(s.Seed, 12))
		for n := 0; interval.Wait(groupCtx, time.Duration(random.ExpFloat64()*float64(keyInterval))); n++ {
			s.replaceKey(random.IntN(workspaces), "key-"+strconv.Itoa(n))
		}
		return nil
	})
	for i := range s.processes {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(s.Seed, 13+uint64(i)))
			for range interval.Each(groupCtx, keyCheckInterval) {
				if err := s.keys.violation(); err != nil {
					return err
				}
				keys := s.keys.all()
				s.tryKey(groupCtx, i, keys[random.IntN(len(keys))])
			}
			return nil
		})
	}
	return group.Wait()
}

// tryKey sends a process a request without an id, which is answered with 405 if its key is valid.
func (s *Soak) tryKey(ctx context.Context, i int, key string) {
	s.sendRequest(ctx, i, http.MethodPost, standin.PoolPrefix(pools[0]), key, nil)
}

// checkKeys tries each key on each process once the newest configuration is in force on all of them.
func (s *Soak) checkKeys(ctx context.Context) error {
	s.keys.mu.Lock()
	s.keys.settled, s.keys.droppedAt = time.Now(), time.Time{}
	s.keys.mu.Unlock()
	for i := range s.processes {
		for _, key := range s.keys.all() {
			s.tryKey(ctx, i, key)
		}
	}
	return s.keys.violation()
}
