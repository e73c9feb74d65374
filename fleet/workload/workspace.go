package workload

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
)

// ErrInvalidWorkspace is returned by CheckWorkspaces for workspaces that cannot be put in force.
var ErrInvalidWorkspace = errors.New("invalid workspace")

// MaxWeight is the largest weight of a workspace; sums over all workspaces stay exact.
const MaxWeight = 1e9

// maxNameBytes is the longest name of a workspace: it is part of each of its jobs' records.
const maxNameBytes = 256

// KeyDigest is the SHA-256 digest of a key with which callers show for which workspace they act. Keys themselves are kept nowhere.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a customer whose jobs share the pools with those of others.
type Workspace struct {
	Name string
	// Keys holds the digests of the keys that callers of the workspace send.
	Keys []KeyDigest
	// Weight is the workspace's share when capacity is short, and the number of its jobs a second that it is owed.
	Weight float64
	// MaxRunning is what the runs of the workspace may occupy on all workers together; an amount of 0 is no limit.
	MaxRunning Resources
}

// CheckWorkspaces validates the workspaces of a configuration. It returns an error that wraps ErrInvalidWorkspace and names the workspace and the field.
func CheckWorkspaces(list []Workspace) error {
	names := make(map[string]bool, len(list))
	owners := map[KeyDigest]string{}
	empty := DigestKey("")
	for i := range list {
		w := &list[i]
		if w.Name == "" {
			return fmt.Errorf("%w: number %d has no name", ErrInvalidWorkspace, i)
		}
		if len(w.Name) > maxNameBytes {
			return fmt.Errorf("%w: number %d has a name of %d bytes, want at most %d", ErrInvalidWorkspace, i, len(w.Name), maxNameBytes)
		}
		if names[w.Name] {
			return fmt.Errorf("%w: %q is named twice", ErrInvalidWorkspace, w.Name)
		}
		names[w.Name] = true
		if math.IsNaN(w.Weight) || w.Weight < 0 || w.Weight > MaxWeight {
			return fmt.Errorf("%w: %q has the weight %v, want 0 to %v", ErrInvalidWorkspace, w.Name, w.Weight, MaxWeight)
		}
		if !w.MaxRunning.Valid() {
			return fmt.Errorf("%w: %q has the limit %+v, want 0 to %d of each", ErrInvalidWorkspace, w.Name, w.MaxRunning, MaxResource)
		}
		for _, k := range w.Keys {
			if k == empty {
				return fmt.Errorf("%w: %q has an empty key", ErrInvalidWorkspace, w.Name)
			}
			if owner, taken := owners[k]; taken && owner != w.Name {
				return fmt.Errorf("%w: a key belongs to %q and to %q", ErrInvalidWorkspace, owner, w.Name)
			}
			owners[k] = w.Name
		}
	}
	return nil
}
