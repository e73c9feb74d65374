package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/verbenabench/procfs"
)

const (
	// leastClients and mostClients bound the number of clients of a crowd.
	leastClients = 40
	mostClients  = 200
	// crowdBody is the size of the bodies that a crowd begins to send, in bytes, the largest that the configuration allows.
	crowdBody = 256 << 10
	// clientPause is the time before a client returns that was refused or lost its connection.
	clientPause = 50 * time.Millisecond
)

// client is what a client of a crowd sends on each of its connections, whatever the process answers.
type client struct {
	name    string
	content func(version int64) []byte
	// reset is set for a client that resets its connection at once, silent for one that reads nothing.
	reset, silent bool
}

// clients are the kinds of clients of crowds. Those that submit jobs use the queue that needs no key, and never finish one.
var clients = []client{
	{name: "unfinished bodies", content: func(version int64) []byte {
		return append(submission(version, fmt.Sprintf("Content-Length: %d", crowdBody)), bytes.Repeat([]byte(" "), crowdBody-1)...)
	}},
	{name: "unfinished chunks", content: func(version int64) []byte {
		return append(submission(version, "Transfer-Encoding: chunked"), bytes.Repeat([]byte("1\r\n \r\n"), crowdBody/8)...)
	}},
	{name: "unfinished headers", content: func(version int64) []byte {
		return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nFiller: %s", standin.VersionPrefix(version), host, strings.Repeat("a", 8<<10))
	}},
	{name: "idle connections", content: func(int64) []byte { return nil }},
	{name: "unread answers", silent: true, content: func(version int64) []byte {
		return bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", standin.VersionPrefix(version), host), 500)
	}},
	{name: "reset connections", reset: true, content: func(version int64) []byte { return submission(version, "Content-Length: 9") }},
}

// submission is the header of a request with a job.
func submission(version int64, framing string) []byte {
	return fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nRequest-Deadline: 3600000\r\n%s\r\n\r\n", standin.VersionPrefix(version), 1<<40, host, framing)
}

// crowd sends clients of one kind to one process, or to all. They return for as long as the fault lasts, also to a process that was restarted.
func (s *Soak) crowd(random *rand.Rand, duration time.Duration) fault {
	kind, count := clients[random.IntN(len(clients))], leastClients+random.IntN(mostClients-leastClients)
	targets := s.processes
	if random.IntN(3) > 0 {
		targets = []*process{s.processes[random.IntN(len(s.processes))]}
	}
	name := fmt.Sprintf("crowd of %d with %s at %d processes", count, kind.name, len(targets))
	return fault{name: name, duration: duration, run: func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		var group errgroup.Group
		for i := range count {
			group.Go(func() error {
				for ctx.Err() == nil {
					kind.call(ctx, targets[i%len(targets)].settings.Entry, kind.content(s.currentVersion()))
					_ = sleep(ctx, clientPause)
				}
				return nil
			})
		}
		_ = group.Wait()
		return checkMemory(targets)
	}}
}

func (s *Soak) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// call opens a connection, sends and keeps it open until the process closes it or the context ends.
func (c *client) call(ctx context.Context, addr netip.AddrPort, content []byte) {
	conn, err := (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(content); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
		_ = tcp.SetLinger(0)
		return
	}
	if c.silent {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// checkMemory returns an error that wraps ErrPromise for a process that has taken more than its memory.
func checkMemory(processes []*process) error {
	for _, p := range processes {
		if peak := p.peakMemory(); peak > p.settings.MemoryMB<<20 {
			return fmt.Errorf("%w: %s has taken %d MB, want at most %d", ErrPromise, p.settings.Node, peak>>20, p.settings.MemoryMB)
		}
	}
	return nil
}

// peakMemory returns the largest resident size of the current incarnation in bytes; 0 if the system does not tell.
func (p *process) peakMemory() int64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	peak, err := procfs.PeakResident(pid)
	if err != nil {
		return 0
	}
	return peak
}
