package days

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pair is a caller and a server with an open connection between them.
type pair struct {
	t                      *testing.T
	network                *network
	caller, server         *host
	callerConn, serverConn net.Conn
}

var serverAddr = netip.MustParseAddrPort("10.0.0.2:80")

func newPair(t *testing.T, callersTimeOut bool) *pair {
	t.Helper()
	n := newNetwork(1)
	p := &pair{t: t, network: n, caller: n.addHost(netip.MustParseAddr("10.0.0.1"), 1, false), server: n.addHost(serverAddr.Addr(), 1, callersTimeOut)}
	l, err := p.server.listen(serverAddr)
	if err != nil {
		t.Fatalf("listen: got %v, want none", err)
	}
	if p.callerConn, err = p.dial(); err != nil {
		t.Fatalf("dial: got %v, want none", err)
	}
	if p.serverConn, err = l.Accept(); err != nil {
		t.Fatalf("accept: got %v, want none", err)
	}
	return p
}

func (p *pair) dial() (net.Conn, error) {
	return p.caller.dial(context.Background(), "tcp", serverAddr.String())
}

func (p *pair) send(content string) {
	p.t.Helper()
	if _, err := p.callerConn.Write([]byte(content)); err != nil {
		p.t.Fatalf("write: got %v, want none", err)
	}
}

// wantArrival reads the expected bytes and checks how long that took.
func (p *pair) wantArrival(content string, minTime, maxTime time.Duration) {
	p.t.Helper()
	startTime := time.Now()
	b := make([]byte, len(content))
	if _, err := io.ReadFull(p.serverConn, b); err != nil || string(b) != content {
		p.t.Fatalf("read: got %q and %v, want %q", b, err, content)
	}
	if took := time.Since(startTime); took < minTime || took > maxTime {
		p.t.Errorf("arrival of %q: got %v, want %v to %v", content, took, minTime, maxTime)
	}
}

func (p *pair) wantReadError(c net.Conn, want error) {
	p.t.Helper()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, want) {
		p.t.Errorf("read: got %v, want %v", err, want)
	}
}

// Guards against an in-memory network whose failures differ from those of TCP between real machines, so that simulated days report failures
// that cannot occur or miss ones that can.
func TestNetworkFailsLikeTCP(t *testing.T) {
	for _, c := range []struct {
		name           string
		callersTimeOut bool
		run            func(p *pair)
	}{
		{"bytes arrive in order", false, func(p *pair) {
			p.send("a")
			p.send("b")
			p.wantArrival("ab", minLatency, maxLatency)
		}},
		{"a partition holds back bytes until it ends", false, func(p *pair) {
			p.network.setPartitioned(p.caller.addr, p.server.addr, true)
			p.send("a")
			time.AfterFunc(5*time.Second, func() { p.network.setPartitioned(p.caller.addr, p.server.addr, false) })
			p.wantArrival("a", 5*time.Second, 5*time.Second)
		}},
		{"a caller gives up unacknowledged bytes", true, func(p *pair) {
			p.network.setPartitioned(p.caller.addr, p.server.addr, true)
			p.send("a")
			time.Sleep(unackedTimeout + time.Millisecond)
			p.network.setPartitioned(p.caller.addr, p.server.addr, false)
			p.wantReadError(p.serverConn, syscall.ECONNRESET)
		}},
		{"a host whose output is held back accepts connections", false, func(p *pair) {
			p.network.changeHeldOutput(p.server.addr, 1)
			c, err := p.dial()
			if err != nil {
				p.t.Fatalf("dial: got %v, want none", err)
			}
			_ = c.Close()
			p.send("a")
			p.wantArrival("a", minLatency, maxLatency)
			if _, err := p.serverConn.Write([]byte("b")); err != nil {
				p.t.Fatalf("write: got %v, want none", err)
			}
			time.AfterFunc(time.Second, func() { p.network.changeHeldOutput(p.server.addr, -1) })
			startTime := time.Now()
			if _, err := p.callerConn.Read(make([]byte, 1)); err != nil || time.Since(startTime) != time.Second {
				p.t.Errorf("answer: got %v after %v, want it after %v", err, time.Since(startTime), time.Second)
			}
		}},
		{"a paused host receives and sends nothing", false, func(p *pair) {
			p.server.setPaused(true)
			p.send("a")
			time.AfterFunc(2*time.Second, func() { p.server.setPaused(false) })
			p.wantArrival("a", 2*time.Second, 2*time.Second)
		}},
		{"a paused host does not reuse idle connections", false, func(p *pair) {
			raw, err := p.callerConn.(syscall.Conn).SyscallConn()
			if err != nil {
				p.t.Fatalf("connection: got %v, want none", err)
			}
			read := func() error { return raw.Read(func(uintptr) bool { return true }) }
			if err := read(); err != nil {
				p.t.Errorf("read before the pause: got %v, want none", err)
			}
			p.caller.setPaused(true)
			if err := read(); !errors.Is(err, net.ErrClosed) {
				p.t.Errorf("read during the pause: got %v, want %v", err, net.ErrClosed)
			}
		}},
		{"a paused host's clock stops and then jumps", false, func(p *pair) {
			p.server.setPaused(true)
			before := p.server.uptime()
			time.Sleep(time.Second)
			if got := p.server.uptime() - before; got != 0 {
				p.t.Errorf("clock during a pause: got %v, want 0", got)
			}
			p.server.setPaused(false)
			if got := p.server.uptime() - before; got != time.Second {
				p.t.Errorf("clock after a pause: got %v, want %v", got, time.Second)
			}
		}},
		{"a killed process closes its connections", false, func(p *pair) {
			p.server.kill(false)
			p.wantReadError(p.callerConn, io.EOF)
			if _, err := p.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
				p.t.Errorf("dial: got %v, want %v", err, syscall.ECONNREFUSED)
			}
		}},
		{"a machine without power sends nothing", false, func(p *pair) {
			p.server.kill(true)
			p.network.removeHost(p.server.addr)
			if err := p.callerConn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				p.t.Fatalf("deadline: got %v, want none", err)
			}
			p.wantReadError(p.callerConn, os.ErrDeadlineExceeded)
			if _, err := p.dial(); !errors.Is(err, context.DeadlineExceeded) {
				p.t.Errorf("dial: got %v, want %v", err, context.DeadlineExceeded)
			}
		}},
		{"bytes written before the close arrive", false, func(p *pair) {
			p.send("a")
			_ = p.callerConn.Close()
			p.wantArrival("a", minLatency, maxLatency)
			p.wantReadError(p.serverConn, io.EOF)
		}},
		{"a reset breaks both ends", false, func(p *pair) {
			p.network.resetConns(p.server.addr)
			p.wantReadError(p.callerConn, syscall.ECONNRESET)
			p.wantReadError(p.serverConn, syscall.ECONNRESET)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t, c.callersTimeOut)
				p.t = t
				c.run(p)
				p.network.shutdown()
			})
		})
	}
}
