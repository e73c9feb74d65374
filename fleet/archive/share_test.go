package archive

import (
	"context"
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/store"
)

// Guards against an archive that uses more than a tenth of the store's maintenance share, which planned stops need too.
// go test ./archive -run Shares -v prints the figures of docs/measurements/archive.md.
func TestShares(t *testing.T) {
	share := store.Shares[store.Maintenance]
	for _, c := range []struct{ entries, services int }{{9, 12}, {39, 400}} {
		t.Run(fmt.Sprintf("%d entry instances, %d services", c.entries, c.services), func(t *testing.T) {
			f := newFixture(c.entries)
			// The first hour is merged during the second.
			for f.now = begin; f.now.Before(begin.Add(2 * time.Hour)); f.now = f.now.Add(DefaultInterval) {
				for _, p := range f.processes {
					// The number of calls does not depend on the number of services, so one process with all services is enough to measure sizes.
					services := 1
					if p == f.processes[0] && f.now.Sub(begin)%slotDuration < DefaultInterval {
						services = c.services
					}
					for n := range services {
						f.count(p, fmt.Sprintf("service%03d", n), 997, 3)
					}
					check.NoError(t, p.flush())
				}
				if f.now.Sub(begin)%sweepInterval < DefaultInterval {
					check.NoError(t, f.sweep())
				}
			}
			calls := f.store.Calls()
			writes := float64(calls["put"]+calls["delete"]) / 7200
			reads := float64(calls["get"]+calls["list"]) / 7200
			part := f.largestRecord(t, partPrefix)
			f.now = f.now.Add(time.Hour)
			check.NoError(t, f.sweep())
			f.check(t, "report")
			t.Logf("writes/s %.3f, reads/s %.3f, bytes of a part %d, of an hour %d", writes, reads, part, f.largestRecord(t, hourPrefix))
			check.True(t, "writes within a tenth of the share", writes < share.Writes/10)
			check.True(t, "reads within a tenth of the share", reads < share.Reads/10)
			f.now = f.now.Add(blockMergeDelay + blockHours*time.Hour)
			check.NoError(t, f.sweep())
			t.Logf("bytes of a block with two hours %d", f.largestRecord(t, blockPrefix))
			f.check(t, "report from blocks")
		})
	}
}

// largestRecord returns the size in bytes of the largest record under a prefix.
func (f *fixture) largestRecord(t *testing.T, prefix string) int {
	t.Helper()
	page, err := f.store.List(context.Background(), prefix, "", 1000)
	check.NoError(t, err)
	size := 0
	for _, e := range page.Entries {
		size = max(size, len(e.Value))
	}
	return size
}
