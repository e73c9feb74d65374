package node

import (
	"net/http"
	"time"

	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// keyring holds the owners of the keys of a configuration; nil if callers need no key.
type keyring map[workload.KeyDigest]string

func newKeyring(list []workload.Workspace) keyring {
	if len(list) == 0 {
		return nil
	}
	k := keyring{}
	for i := range list {
		for _, digest := range list[i].Keys {
			k[digest] = list[i].Name
		}
	}
	return k
}

// caller is what a request's key shows of its sender.
type caller struct {
	// workspace is the one whose key was sent; empty without a key.
	workspace string
	// submitsFor is the workspace of the jobs that the request submits; it is empty on an anonymous queue.
	submitsFor string
	// unrestricted is set where callers need no key.
	unrestricted bool
}

// mayAccess reports whether the caller may learn of a job of a workspace. A job without one was stored through an anonymous queue, by an older
// version, or while callers needed no key.
func (c caller) mayAccess(workspace string) bool {
	return c.unrestricted || workspace == "" || workspace == c.workspace
}

// keyOutcome is the outcome of the check of a request's key.
type keyOutcome string

const (
	keyAccepted keyOutcome = "accepted"
	// keyNotNeeded is the outcome of a request without a key to an anonymous queue.
	keyNotNeeded keyOutcome = "notNeeded"
	keyMissing   keyOutcome = "missing"
	keyUnknown   keyOutcome = "unknown"
	// The configuration may be out of date: it cannot tell that a key is missing from it, or that a key is still in it.
	keyUnknownPerhaps keyOutcome = "unknownPerhaps"
	keyRemovedPerhaps keyOutcome = "removedPerhaps"
)

// check returns who sends a request to a queue. age is the time since the configuration was known to be the newest one, and maxAge the age up to
// which a key that it holds is valid.
func (k keyring) check(r *http.Request, queue *workload.Queue, age, maxAge time.Duration) (caller, keyOutcome) {
	digest, sent := callerKey(r)
	if !sent {
		if queue.Anonymous {
			return caller{}, keyNotNeeded
		}
		// Without a key a request is refused by each configuration that has the queue under keys; a newer one may have made it anonymous.
		if age > staleAfter {
			return caller{}, keyUnknownPerhaps
		}
		return caller{}, keyMissing
	}
	workspace, known := k[digest]
	switch {
	case !known && age > staleAfter:
		return caller{}, keyUnknownPerhaps
	case !known:
		return caller{}, keyUnknown
	case age > maxAge:
		return caller{}, keyRemovedPerhaps
	}
	c := caller{workspace: workspace, submitsFor: workspace}
	if queue.Anonymous {
		c.submitsFor = ""
	}
	return c, keyAccepted
}

// callerKey returns the digest of the key that a request carries. A request with several key headers counts as one with an unknown key.
func callerKey(r *http.Request) (digest workload.KeyDigest, sent bool) {
	headers := r.Header[platform.KeyHeader]
	if len(headers) == 0 {
		return digest, false
	}
	digest, ok := platform.CallerKey(headers[0])
	if !ok || len(headers) > 1 {
		return workload.DigestKey(""), true
	}
	return digest, true
}

// maxKeyAge is the age of a configuration up to which the keys in it are valid: within that time a node learns of a removed key although the store
// turns it away. An undisturbed configuration may be as old as staleAfter.
func (n *Node) maxKeyAge() time.Duration {
	b := n.Settings.Bounds
	return max(staleAfter, b.Configuration+b.ConfigurationSkew)
}

// permit checks the key of a request to a queue before its body is read, by the configuration of this node alone. It answers a request that is
// refused, and returns false for it. age is the age of the configuration, read before the configuration itself.
func (n *Node) permit(w http.ResponseWriter, r *http.Request, routes *routes, queue *workload.Queue, age time.Duration) (caller, bool) {
	if routes.keys == nil {
		return caller{unrestricted: true}, true
	}
	from, outcome := routes.keys.check(r, queue, age, n.maxKeyAge())
	count(n.Registry, "keys."+string(outcome))
	status, title := http.StatusUnauthorized, "no valid key"
	switch outcome {
	case keyAccepted, keyNotNeeded:
		return from, true
	case keyUnknownPerhaps, keyRemovedPerhaps:
		status, title = http.StatusServiceUnavailable, "key cannot be checked; the configuration may be out of date"
	default:
		w.Header().Set("WWW-Authenticate", platform.KeyScheme)
	}
	if leftOut, ok := n.refusals.Allow(time.Now()); ok {
		n.Log.Info().Int64("linesLeftOut", leftOut).Str("method", r.Method).Str("queue", queue.Name).Str("key", string(outcome)).Int("status", status).
			Int64("version", routes.Version).Dur("age", age).Msg("request refused: no valid key")
	}
	n.refuse(w, status, title)
	return caller{}, false
}
