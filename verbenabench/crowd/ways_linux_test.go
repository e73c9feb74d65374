//go:build crowd

package crowd_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// raw sends the same bytes on each connection.
func raw(format string, values ...any) send {
	content := fmt.Appendf(nil, format, values...)
	return func(conn net.Conn) error {
		_, err := conn.Write(content)
		return err
	}
}

// resets opens and resets connections as fast as it can until the crowd's time ends.
func resets(conn net.Conn) error {
	addr := conn.RemoteAddr().String()
	for end := time.Now().Add(sendTime / 2); time.Now().Before(end); {
		c, err := net.DialTimeout("tcp", addr, callTimeout)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(c, "POST %s", standin.PoolPrefix(pool))
		if err := c.(*net.TCPConn).SetLinger(0); err != nil {
			return err
		}
		_ = c.Close()
	}
	return nil
}

// novel sends many requests on a connection, each with values that the process has not seen: format gets a number for each.
func novel(format string, count int) send {
	var requests atomic.Int64
	return func(conn net.Conn) error {
		for range count {
			n := requests.Add(1)
			if _, err := conn.Write([]byte(strings.ReplaceAll(format, "#", fmt.Sprintf("%016x", n<<8)))); err != nil {
				return err
			}
			if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against a process that ends, hangs or keeps something for each of a crowd's requests, whatever they consist of.
func TestOtherRequests(t *testing.T) {
	const count = 500
	prefix := standin.PoolPrefix(pool)
	begin := "Host: " + host + "\r\n"
	unfinished := fmt.Sprintf("POST %s%016x HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", prefix, 1<<30, begin, maxBody, bytes.Repeat([]byte(" "), maxBody/2))
	large := bytes.Repeat([]byte(" "), maxBody)
	for _, tt := range []struct {
		name string
		act  send
	}{
		{"states with bodies", raw("GET %s%016x HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", prefix, 1, begin, 2*maxBody, large)},
		{"cancellations with bodies", raw("DELETE %s%016x HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", prefix, 1, begin, 2*maxBody, large)},
		{"requests for another protocol", raw("GET %s HTTP/1.1\r\n%sConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n%s", prefix, begin, large)},
		{"requests behind an unfinished body", raw("%s%s", unfinished, bytes.Repeat(get(prefix), 100))},
		{"two lengths", raw("POST %s%016x HTTP/1.1\r\n%sContent-Length: 4\r\nContent-Length: %d\r\n\r\n%s", prefix, 1, begin, maxBody, large)},
		{"a length and chunks", raw("POST %s%016x HTTP/1.1\r\n%sContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", prefix, 1, begin, maxBody, large)},
		{"endless trailers", raw("POST %s%016x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n%s", prefix, 1, begin, bytes.Repeat([]byte("A: b\r\n"), maxBody/6))},
		{"long chunk extensions", raw("POST %s%016x HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n1;%s", prefix, 1, begin, large)},
		{"connections that are reset", resets},
		{"new ids", novel("GET "+prefix+"# HTTP/1.1\r\n"+begin+"\r\n", count)},
		{"new hosts", novel("GET "+prefix+" HTTP/1.1\r\nHost: a#.example\r\n\r\n", count)},
		{"new paths", novel("GET /#/ HTTP/1.1\r\n"+begin+"\r\n", count)},
		{"new methods", novel("M# "+prefix+"0000000000000001 HTTP/1.1\r\n"+begin+"\r\n", count)},
		{"cancellations of new ids", novel("DELETE "+prefix+"# HTTP/1.1\r\n"+begin+"\r\n", count)},
		{"keys where none is needed", novel("GET "+prefix+"0000000000000001 HTTP/1.1\r\n"+begin+platform.KeyHeader+": "+platform.KeyScheme+" a#\r\n\r\n", count)},
		{"invalid jobs", novel("POST "+prefix+"# HTTP/1.1\r\n"+begin+"Content-Length: 2\r\n\r\n[]", count)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			s.checkCrowd(t, s.entry, bodyClients, tt.act, memoryMB, maxFDs)
		})
	}
}

// Guards against a process that keeps something for each key that a client thinks of, where callers need one.
func TestNewKeys(t *testing.T) {
	const count = 500
	s := prepare(t, memoryMB, maxFDs)
	s.key = "hemline-1"
	s.platform.SetTenants([]wire.Tenant{{Name: "hemline", APIKeys: []string{s.key}, Weight: 1}})
	s.platform.Configure(1, host, 3)
	s.run(t)
	s.awaitAnswer(t, startLimit)
	request := "POST " + standin.PoolPrefix(pool) + "# HTTP/1.1\r\nHost: " + host + "\r\n" + platform.KeyHeader + ": " + platform.KeyScheme + " a#\r\nContent-Length: 2\r\n\r\n{}"
	s.checkCrowd(t, s.entry, bodyClients, novel(request, count), memoryMB, maxFDs)
}
