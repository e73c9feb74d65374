package node

import (
	"context"
	"encoding/json"

	"verbenalanding.example/fleet/store"
)

// storedWorkspace returns the workspace of a stored job; it is empty for a job without one, and for a value that cannot be decoded.
func storedWorkspace(job store.Entry) string {
	var j struct {
		Workspace string `json:"workspace"`
	}
	// No holder runs a job that cannot be decoded.
	_ = json.Unmarshal(job.Value, &j)
	return j.Workspace
}

// workspaceOf reads the workspace of a job of a pool.
func (n *Node) workspaceOf(ctx context.Context, st storeAccess, pool, id string, attempt int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	entry, err := st.Get(ctx, jobKey(pool, id))
	if err != nil {
		return "", err
	}
	return storedWorkspace(entry), nil
}
