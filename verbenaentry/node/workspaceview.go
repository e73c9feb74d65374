package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

var errUnknownWorkspace = errors.New("no such workspace")

// workspaceView reads how the limit of a workspace is divided.
func (n *Node) workspaceView(ctx context.Context, name string) (quota.View, error) {
	c := n.View.Configuration()
	if c == nil {
		return quota.View{}, errHoldersMissing
	}
	i := slices.IndexFunc(c.Workspaces, func(w workload.Workspace) bool { return w.Name == name })
	if i < 0 {
		return quota.View{}, errUnknownWorkspace
	}
	v := quota.View{Workspace: name, Weight: c.Workspaces[i].Weight, Limit: c.Workspaces[i].MaxRunning}
	if v.Limit == (workload.Resources{}) {
		return v, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := n.Store.Get(ctx, grantKey(name))
	if errors.Is(err, store.ErrNotFound) {
		return v, nil
	}
	if err != nil {
		return v, err
	}
	var r grantRecord
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return v, err
	}
	v.Record = r.Record
	return v, nil
}

// routeWorkspaces serves the limits of workspaces to operators.
func (n *Node) routeWorkspaces(router chi.Router) {
	router.Get("/operator/workspaces/{name}", func(w http.ResponseWriter, r *http.Request) {
		v, err := n.workspaceView(r.Context(), chi.URLParam(r, "name"))
		n.answerExplanation(w, v, err)
	})
}
