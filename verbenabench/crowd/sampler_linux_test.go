//go:build crowd

package crowd_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// usage is the most that a process has used at one moment. Sizes are in bytes.
type usage struct {
	descriptors, sockets int
	// unread is what the kernel has received for the process's listeners and the process has not read; total is that and the resident size.
	unread, total int64
}

// sampler reads from outside what a process uses.
type sampler struct {
	pid       int
	listeners []netip.AddrPort
	most      usage
	group     errgroup.Group
	stop      context.CancelFunc
}

// startSampler samples until end is called.
func startSampler(ctx context.Context, s *target) *sampler {
	m := &sampler{pid: s.command.Process.Pid, listeners: []netip.AddrPort{s.entry, s.readiness, s.peer}}
	ctx, m.stop = context.WithCancel(ctx)
	m.group.Go(func() error {
		for ctx.Err() == nil {
			m.sample()
			time.Sleep(sampleTime)
		}
		return nil
	})
	return m
}

// end returns the most that was used at one moment.
func (m *sampler) end() usage {
	m.stop()
	_ = m.group.Wait()
	return m.most
}

func (m *sampler) sample() {
	all, sockets := m.openFDs()
	m.most.descriptors, m.most.sockets = max(m.most.descriptors, all), max(m.most.sockets, sockets)
	// What the process reads between the two figures is in neither.
	resident, unread := m.resident(), m.unread()
	m.most.unread, m.most.total = max(m.most.unread, unread), max(m.most.total, resident+unread)
}

// openFDs returns the number of the process's open descriptors and how many of them are sockets.
func (m *sampler) openFDs() (all, sockets int) {
	dir := fmt.Sprintf("/proc/%d/fd", m.pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			sockets++
		}
	}
	return len(entries), sockets
}

// resident returns the present resident size of the process, in bytes; 0 once it has ended.
func (m *sampler) resident() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// unread returns the bytes that have arrived on connections to the listeners, accepted or not, and that nobody has read.
func (m *sampler) unread() int64 {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := map[string]bool{}
	for _, l := range m.listeners {
		a := l.Addr().As4()
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", a[3], a[2], a[1], a[0], l.Port())] = true
	}
	const (
		localField, stateField, queueField = 1, 3, 4
		listenState                        = "0A"
	)
	var sum int64
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || !local[fields[localField]] || fields[stateField] == listenState {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		if size, err := strconv.ParseInt(received, 16, 64); err == nil {
			sum += size
		}
	}
	return sum
}
