//go:build crowd

package crowd_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// endless is a server whose answers begin with a text and go on with another one, if there is one, until their client closes the connection.
type endless struct {
	begin, repeated string
}

const (
	chunkedHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	sizedHeader   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000000\r\n\r\n"
)

// sized returns a whole answer with a body.
func sized(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// start serves on a new address until the test ends.
func (e endless) start(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 1)); err == nil {
					e.answer(conn)
				}
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait()
	})
	return l.Addr().String()
}

// answer writes the answer of a call that has arrived.
func (e endless) answer(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	if _, err := conn.Write([]byte(e.begin)); err != nil {
		return
	}
	if e.repeated == "" {
		return
	}
	for block := bytes.Repeat([]byte(e.repeated), 64<<10/len(e.repeated)); ; {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// Guards against a process that ends because workers, or the list of machines, answer without an end.
func TestAnswersWithoutEnd(t *testing.T) {
	const (
		workers = 40
		// rows is the number of lists in the largest whole answer that is sent.
		rows = 2_500_000
	)
	answers := []struct {
		name string
		endless
	}{
		{"header", endless{"HTTP/1.1 200 OK\r\n", "A: b\r\n"}},
		{"one field", endless{"HTTP/1.1 200 OK\r\nA: ", "b"}},
		{"body", endless{sizedHeader + `{"Running":[`, `[],`}},
		{"chunks", endless{chunkedHeader, "4\r\n    \r\n"}},
		{"trailer", endless{chunkedHeader + "0\r\n", "A: b\r\n"}},
		{"rows", endless{begin: sized(`{"Running":[` + strings.Repeat("[],", rows) + `[]]}`)}},
	}
	for _, tt := range answers {
		t.Run("workers, "+tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			sampling := startSampler(t.Context(), s)
			addr := tt.start(t)
			for i := range workers {
				s.platform.Store.Put(fmt.Sprintf("%sendless-%d", wire.PrefixWorkers, i), wire.Worker{
					Backend: pool, Address: addr, Zone: "z1", Version: "v1", Slots: 8, State: "ready", Machine: fmt.Sprintf("endless-%d", i),
					Capacity: wire.Resources{CPU: 8000, MemMb: 16000}, Labels: []string{"a", "r9"}, Born: time.Now().UnixMilli(),
				})
			}
			time.Sleep(holdTime)
			s.awaitAnswer(t, answerLimit)
			s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
		})
	}
	for _, tt := range answers {
		t.Run("machines, "+tt.name, func(t *testing.T) {
			s := prepare(t, memoryMB, maxFDs)
			s.machines = tt.start(t)
			s.platform.Configure(1, host, 3)
			s.run(t)
			sampling := startSampler(t.Context(), s)
			s.awaitAnswer(t, startLimit)
			time.Sleep(holdTime)
			s.awaitAnswer(t, answerLimit)
			s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
		})
	}
	for _, tt := range answers {
		t.Run("store, "+tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			sampling := startSampler(t.Context(), s)
			s.platform.Store.SetFaults(standin.StoreFaults{Answer: tt.answer})
			time.Sleep(holdTime)
			s.platform.Store.SetFaults(standin.StoreFaults{})
			s.awaitAnswer(t, answerLimit)
			s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
		})
	}
}
