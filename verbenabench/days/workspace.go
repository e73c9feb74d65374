package days

import (
	"net/http"
	"strconv"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// workspaces is the number of workspaces of a day with keys.
const workspaces = 2

// hasKeys reports whether the day's callers send keys, as those of every second day do. Where they do, nodes that nothing confirms refuse all
// calls, so that the other days show more of what nodes answer then.
func (s *script) hasKeys() bool { return s.seed%2 == 1 }

// key returns the key of the caller's workspace.
func (c *submission) key() string {
	return "key-" + strconv.Itoa(int(c.job.ID[len(c.job.ID)-1])%workspaces)
}

// tenants returns the day's workspaces.
func (s *script) tenants() []wire.Tenant {
	if !s.hasKeys() {
		return nil
	}
	list := make([]wire.Tenant, 0, workspaces)
	for i := range workspaces {
		t := wire.Tenant{Name: "workspace-" + strconv.Itoa(i), Weight: 1, APIKeys: []string{"key-" + strconv.Itoa(i)}}
		t.MaxCount.CPU = s.limit(t.Name)
		list = append(list, t)
	}
	return list
}

// limitShare is the part of the day's capacity, as one in so many, that a workspace may run beside its long-running tasks.
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

// workspace returns the name of the caller's workspace.
func (c *submission) workspace() string {
	return "workspace-" + strconv.Itoa(int(c.job.ID[len(c.job.ID)-1])%workspaces)
}

// sign adds the caller's key to a request.
func (d *day) sign(r *http.Request, c *submission) {
	if d.script.hasKeys() {
		r.Header.Set(platform.KeyHeader, platform.KeyScheme+" "+c.key())
	}
}
