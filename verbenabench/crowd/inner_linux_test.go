//go:build crowd

package crowd_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"testing"
)

// message returns a call between nodes, with the varint of its declared length before it.
func message(declared int, content []byte) []byte {
	return append(binary.AppendUvarint(nil, uint64(declared)), content...)
}

// largeCall is a call whose parameter is as large as a body may be.
func largeCall() []byte {
	const begin, end = `{"jsonrpc":"2.0","id":1,"method":"job.state","params":"`, `"}`
	return append(append([]byte(begin), bytes.Repeat([]byte("a"), maxBody-len(begin)-len(end))...), end...)
}

// unfinishedCall sends a call without its last byte.
func unfinishedCall(conn net.Conn) error {
	c := largeCall()
	_, err := conn.Write(message(len(c), c[:len(c)-1]))
	return err
}

// endlessCall sends a part of a call that declares 1 GB.
func endlessCall(conn net.Conn) error {
	if _, err := conn.Write(message(1<<30, []byte(`{"jsonrpc":"2.0","id":1,"method":"`))); err != nil {
		return err
	}
	block := bytes.Repeat([]byte("a"), 64<<10)
	for range memoryMB << 20 / len(block) {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// unreadCalls sends calls whose answers quote them, and never reads one.
func unreadCalls() send {
	c := fmt.Appendf(nil, `{"jsonrpc":"2.0","id":1,"method":%q,"params":{"pool":%q}}`, bytes.Repeat([]byte("a"), 4<<10), pool)
	return unread(message(len(c), c), 4000)
}

// Guards against a process that ends because of clients on its inner port, which is open to whoever reaches the machine.
func TestInnerPort(t *testing.T) {
	for _, tt := range []struct {
		name    string
		clients int
		act     send
	}{
		{"calls without their last byte", bodyClients, unfinishedCall},
		{"call without an end", 4, endlessCall},
		{"calls without a reader", 20, unreadCalls()},
		{"idle connections", idleClients, idle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			s.checkCrowd(t, s.peer, tt.clients, tt.act, memoryMB, maxFDs)
		})
	}
}

// Guards against a process that ends because of clients on the port of the probes and metrics.
func TestReadinessPort(t *testing.T) {
	const pipelined = 200
	for _, tt := range []struct {
		name    string
		clients int
		act     send
	}{
		{"bodies without their last byte", bodyClients, whole(largeJob(), 1).send()},
		{"headers that trickle", idleClients, trickle},
		{"metrics without a reader", bodyClients, unread(get("/metrics"), pipelined)},
		{"idle connections", idleClients, idle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			s.checkCrowd(t, s.readiness, tt.clients, tt.act, memoryMB, maxFDs)
		})
	}
}
