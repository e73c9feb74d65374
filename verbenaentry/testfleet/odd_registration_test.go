package testfleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// oddRegistrations are entries of another writer among the registrations of workers.
func oddRegistrations() map[string]string {
	const depth = 200_000
	entry := func(address, capacity, rest string) string {
		return fmt.Sprintf(`{"Backend":"cutting","Address":%q,"State":"ready","Capacity":%s%s}`, address, capacity, rest)
	}
	const room = `{"Cpu":16000,"MemMb":64000}`
	return map[string]string{
		"nested":           strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested-in-a-fiel": entry("127.0.0.1:1", room, `,"Labels":`+strings.Repeat(`[`, depth)+strings.Repeat(`]`, depth)),
		"nested-unknown":   entry("127.0.0.1:1", room, `,"x":`+strings.Repeat(`{"x":`, 9000)+"1"+strings.Repeat(`}`, 9000)),
		"open":             strings.Repeat(`{"a":`, depth),
		"number":           entry("127.0.0.1:1", `{"Cpu":1e400,"MemMb":64000}`, ""),
		"number-beyond":    entry("127.0.0.1:1", `{"Cpu":9223372036854775808,"MemMb":64000}`, ""),
		"number-largest":   entry("127.0.0.1:1", `{"Cpu":9223372036854775807,"MemMb":9223372036854775807,"Gpu":9223372036854775807}`, ""),
		"number-negative":  entry("127.0.0.1:1", `{"Cpu":1000,"MemMb":-9223372036854775808,"Gpu":-1}`, ""),
		"born-largest":     entry("127.0.0.1:1", room, `,"born":9223372036854775807`),
		"born-negative":    entry("127.0.0.1:1", room, `,"born":-9223372036854775808,"Machine":"m-cutting-0"`),
		"port-beyond":      entry("127.0.0.1:99999", room, ""),
		"port-negative":    entry("127.0.0.1:-1", room, ""),
		"port-zero":        entry("127.0.0.1:0", room, ""),
		"long-address":     entry(strings.Repeat("9", 200_000), room, ""),
		"long-state":       strings.Replace(entry("127.0.0.1:1", room, ""), "ready", strings.Repeat("r", 200_000), 1),
		"no-text":          "\x00\xff\xfe",
		"empty":            "",
		"null":             "null",
		"id\nwith: header": entry("127.0.0.1:1", room, ""),
	}
}

// Guards against processes that end, or that stop following the workers, because of an entry of another writer among the registrations.
func TestOddRegistrationsAreLeftOut(t *testing.T) {
	var log lockedBuffer
	f, ctx := startConfigured(t, &testfleet.Fleet{
		Nodes: 3, Log: &log, Flags: node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: 1500 * time.Millisecond, LogLevel: "info"},
		Platform: &standin.Platform{
			Seed: 1, Pools: map[string]int{"cutting": 4, "fitting": 4}, Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 5 * time.Millisecond,
		},
	})
	serveJobs(ctx, t, f, 4)
	for name, value := range oddRegistrations() {
		f.Platform.Store.PutRaw(wire.PrefixWorkers+name, []byte(value))
	}
	serveJobsDuring(ctx, t, f, 30, func() error {
		f.Kill(f.Holder("cutting"))
		return nil
	})
	for i, err := range f.Ended() {
		if err != nil {
			t.Errorf("node %d: got its end with %v, want it to run or to be killed", i, err)
		}
	}
	const maxLine = 2 << 10
	for line := range strings.Lines(log.String()) {
		if len(line) > maxLine {
			t.Errorf("log line: got %d bytes (%.200s), want at most %d", len(line), line, maxLine)
		}
		if !json.Valid([]byte(line)) {
			t.Errorf("log line: got %.200s, want JSON", line)
		}
	}
	if got := log.String(); !strings.Contains(got, "servers/port-beyond") {
		t.Error("log: got no line with the key servers/port-beyond, want one")
	}
}
