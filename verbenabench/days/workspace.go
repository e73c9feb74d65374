package days

import (
	"net/http"
	"strconv"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// workspaces is the number of workspaces of a day with keys.
const workspaces = 2

// hasKeys reports whether the day's callers send keys, as those of every second day do. With keys, nodes whose
// configuration nothing confirms refuse all calls, so only the other days test what such nodes answer.
func (s *script) hasKeys() bool { return s.seed%2 == 1 }

func workspaceName(i int) string { return "workspace-" + strconv.Itoa(i) }

func workspaceKey(i int) string { return "key-" + strconv.Itoa(i) }

// workspaceIndex returns the index of the caller's workspace, which the job's id selects.
func (c *submission) workspaceIndex() int { return int(c.job.ID[len(c.job.ID)-1]) % workspaces }

// workspace returns the name of the caller's workspace.
func (c *submission) workspace() string { return workspaceName(c.workspaceIndex()) }

// tenants returns the day's workspaces.
func (s *script) tenants() []wire.Tenant {
	if !s.hasKeys() {
		return nil
	}
	list := make([]wire.Tenant, 0, workspaces)
	for i := range workspaces {
		t := wire.Tenant{Name: workspaceName(i), Weight: 1, APIKeys: []string{workspaceKey(i)}}
		t.MaxCount.CPU = s.limit(t.Name)
		list = append(list, t)
	}
	return list
}

// limitShare divides the day's capacity: a workspace may run 1/limitShare of it beside its long-running tasks.
const limitShare = 4

// limit returns the limit of a workspace in thousandths of a core. Its long-running tasks fit into it, since each of them has to run.
func (s *script) limit(workspace string) (cpu int64) {
	for _, machines := range s.pools {
		cpu += int64(machines) * machineCapacity.CPU / limitShare
	}
	for i := range s.jobs {
		if c := &s.jobs[i]; c.workspace() == workspace && c.longRunning() {
			cpu += int64(c.job.Steps[0].Count) * c.job.Steps[0].CPU
		}
	}
	return cpu
}

// sign adds the caller's key to a request.
func (d *day) sign(r *http.Request, c *submission) {
	if d.script.hasKeys() {
		r.Header.Set(platform.KeyHeader, platform.KeyScheme+" "+workspaceKey(c.workspaceIndex()))
	}
}
