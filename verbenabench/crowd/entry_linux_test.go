//go:build crowd

package crowd_test

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
)

var smallJob = []byte(`{"Spec":"a","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300}]}`)

// largeJob is a valid job as large as a body may be.
func largeJob() []byte {
	return append(bytes.Clone(smallJob), bytes.Repeat([]byte(" "), maxBody-len(smallJob))...)
}

// submission is a job that each client of a crowd submits under an id of its own. length is the declared length of its body, negative for a
// chunked one; content is what is sent of the body, in pieces of a size, or at once if that is 0.
type submission struct {
	// prefix is that of the queue; empty for the pool's.
	prefix  string
	fields  string
	length  int
	content []byte
	piece   int
	// deadlineMs is the caller's deadline in milliseconds; 0 for the usual one.
	deadlineMs int
	// oneID makes all clients submit the job under the same id.
	oneID bool
}

// whole returns a submission whose body lacks the last bytes.
func whole(content []byte, missing int) submission {
	return submission{length: len(content), content: content[:len(content)-missing]}
}

// chunked returns a submission in chunks of a size, without the end of the last chunk.
func chunked(content []byte, size int) submission {
	var chunks []byte
	for rest := content; len(rest) > 0; {
		chunk := rest[:min(size, len(rest))]
		chunks = fmt.Appendf(chunks, "%x\r\n%s\r\n", len(chunk), chunk)
		rest = rest[len(chunk):]
	}
	return submission{length: -1, content: chunks[:len(chunks)-len("\r\n")-1]}
}

// toUnknownQueue sends the submission to a queue that does not exist.
func (s submission) toUnknownQueue() submission {
	s.prefix = "/unknown/"
	return s
}

func (s submission) inPieces() submission {
	s.piece = 8 << 10
	return s
}

// withHeader adds a field of a size to the header.
func (s submission) withHeader(size int) submission {
	s.fields += "Filler: " + strings.Repeat("a", size) + "\r\n"
	return s
}

func (s submission) send() send {
	var clients atomic.Int64
	framing := "Transfer-Encoding: chunked"
	if s.length >= 0 {
		framing = "Content-Length: " + strconv.Itoa(s.length)
	}
	return func(conn net.Conn) error {
		id := clients.Add(1) + 1<<20
		if s.oneID {
			id = 1 << 20
		}
		if _, err := fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nRequest-Deadline: %d\r\n%s%s\r\n\r\n",
			cmp.Or(s.prefix, standin.PoolPrefix(pool)), id, host, cmp.Or(s.deadlineMs, 3000), s.fields, framing); err != nil {
			return err
		}
		for rest := s.content; len(rest) > 0; {
			piece := rest[:min(cmp.Or(s.piece, len(rest)), len(rest))]
			if _, err := conn.Write(piece); err != nil {
				return err
			}
			rest = rest[len(piece):]
		}
		return nil
	}
}

// manySteps is a body of the largest size whose decoded steps take far more room than the body.
func manySteps() []byte {
	const begin, end = `{"Spec":"a","Steps":[{}`, `]}`
	steps := bytes.Repeat([]byte(`,{}`), (maxBody-len(begin)-len(end))/len(`,{}`))
	return append(append([]byte(begin), steps...), end...)
}

// compressed returns a submission whose body takes 16 MB once it is expanded.
func compressed(t *testing.T) submission {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(bytes.Repeat([]byte(" "), 16<<20)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return submission{fields: "Content-Encoding: gzip\r\n", length: b.Len(), content: b.Bytes()}
}

// trickle sends a long header byte by byte, without its end.
func trickle(conn net.Conn) error {
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nFiller: %s", standin.PoolPrefix(pool), host, bytes.Repeat([]byte("a"), 12<<10)); err != nil {
		return err
	}
	for {
		if _, err := conn.Write([]byte("a")); err != nil {
			return err
		}
		time.Sleep(sampleTime)
	}
}

// unread sends many requests at once and never reads their answers.
func unread(request []byte, count int) send {
	all := bytes.Repeat(request, count)
	return func(conn net.Conn) error {
		if c, ok := conn.(*net.TCPConn); ok {
			if err := c.SetReadBuffer(os.Getpagesize()); err != nil {
				return err
			}
		}
		_, err := conn.Write(all)
		return err
	}
}

// idle sends nothing.
func idle(net.Conn) error { return nil }

func get(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
}

// Guards against a process that ends because callers' bodies, headers, connections or unread answers take all of its memory or descriptors.
func TestEntry(t *testing.T) {
	const pipelined = 2000
	for _, tt := range []struct {
		name    string
		clients int
		act     send
	}{
		{"whole bodies", bodyClients, whole(largeJob(), 0).send()},
		{"whole bodies of many steps", bodyClients / 10, whole(manySteps(), 0).send()},
		{"bodies without their last byte", bodyClients, whole(largeJob(), 1).send()},
		{"bodies in pieces without their last byte", bodyClients, whole(largeJob(), 1).inPieces().send()},
		{"one large chunk without its end", bodyClients, chunked(largeJob(), maxBody).send()},
		{"chunks of one byte without their end", bodyClients, chunked(largeJob(), 1).inPieces().send()},
		{"compressed bodies", bodyClients, compressed(t).send()},
		{"idle connections", idleClients, idle},
		{"bodies of an unknown queue without their last byte", idleClients, whole(largeJob(), 1).toUnknownQueue().send()},
		{"bodies that wait to be asked for", idleClients, submission{fields: "Expect: 100-continue\r\n", length: maxBody}.send()},
		{"headers that trickle", idleClients, trickle},
		{"pipelined requests without a reader", bodyClients, unread(get(standin.PoolPrefix(pool)), pipelined)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			s.checkCrowd(t, s.entry, tt.clients, tt.act, memoryMB, maxFDs)
		})
	}
}

// Guards against a crowd that the smallest machine does not survive. Of its 184 MB a process may use 120 MB, since other buffers of the machine
// count as well.
func TestSmallestMachine(t *testing.T) {
	const (
		machineMB, boundMB = 184, 120
		machineFDs         = 4100
		clients            = 1500
	)
	for _, tt := range []struct {
		name string
		act  send
	}{
		{"whole bodies", whole(largeJob(), 0).send()},
		{"bodies without their last byte", whole(largeJob(), 1).send()},
		{"bodies in pieces without their last byte", whole(largeJob(), 1).inPieces().send()},
		{"one large chunk without its end", chunked(largeJob(), maxBody).send()},
		{"chunks of one byte without their end", chunked(largeJob(), 1).inPieces().send()},
		{"headers that trickle", trickle},
		{"bodies without their last byte after large headers", whole(largeJob(), 1).withHeader(15 << 10).send()},
		{"small bodies without their last byte after large headers", whole(largeJob()[:16<<10], 1).withHeader(15 << 10).send()},
		{"small jobs after large headers", whole(largeJob()[:16<<10], 0).withHeader(15 << 10).send()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, machineMB, machineFDs)
			s.checkCrowd(t, s.entry, clients, tt.act, boundMB, machineFDs)
		})
	}
}

// underOneID submits the job under the same id from all clients.
func (s submission) underOneID() submission {
	s.oneID = true
	return s
}

// Guards against a process that exceeds the memory of the smallest machine, for which bytes count that have arrived and were not read.
func TestReturningClients(t *testing.T) {
	const (
		machineMB, machineFDs = 184, 4100
		clients, returns      = 1500, 2
	)
	for _, tt := range []struct {
		name string
		act  send
	}{
		{"whole bodies", whole(largeJob(), 0).send()},
		{"one job from all", whole(largeJob(), 0).underOneID().send()},
		{"bodies without their last byte", whole(largeJob(), 1).send()},
		{"one large chunk without its end", chunked(largeJob(), maxBody).send()},
		{"bodies of an unknown queue", whole(largeJob(), 0).toUnknownQueue().send()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, machineMB, machineFDs)
			s.check(t, s.entry, &crowd{clients: clients, returns: returns, act: tt.act}, machineMB, machineFDs)
		})
	}
}
