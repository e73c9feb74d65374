package daemon

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against clients that open connections until the daemon has no descriptors left, or that keep everybody else out by that.
func TestConnectionsOfClientsAreBounded(t *testing.T) {
	const strangers = maxOperatorConnections + 100
	p := start(t, startSite(t), "e1")
	defer p.stop(t)
	addr := p.OperatorAddr().String()
	var conns []net.Conn
	for range strangers {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatalf("request beside them: got %v, want an answer", err)
	}
	_ = answer.Body.Close()
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		var timeout net.Error
		if _, err := conn.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
			open++
		}
	}
	if open > maxOperatorConnections {
		t.Errorf("open connections: got %d, want at most %d", open, maxOperatorConnections)
	}
}
