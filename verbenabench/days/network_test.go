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

// pair is a caller and a server with a connection between them.
type pair struct {
	t              *testing.T
	net            *network
	caller, server *host
	there, back    net.Conn
}

var serverAddr = netip.MustParseAddrPort("10.0.0.2:80")

func newPair(t *testing.T, impatient bool) *pair {
	t.Helper()
	n := newNetwork(1)
	p := &pair{t: t, net: n, caller: n.host(netip.MustParseAddr("10.0.0.1"), 1, false), server: n.host(serverAddr.Addr(), 1, impatient)}
	l, err := p.server.listen(serverAddr)
	if err != nil {
		t.Fatalf("listen: got %v, want none", err)
	}
	if p.there, err = p.dial(); err != nil {
		t.Fatalf("dial: got %v, want none", err)
	}
	if p.back, err = l.Accept(); err != nil {
		t.Fatalf("accept: got %v, want none", err)
	}
	return p
}

func (p *pair) dial() (net.Conn, error) {
	return p.caller.dial(context.Background(), "tcp", serverAddr.String())
}

func (p *pair) send(what string) {
	p.t.Helper()
	if _, err := p.there.Write([]byte(what)); err != nil {
		p.t.Fatalf("write: got %v, want none", err)
	}
}

// wantArrival reads and checks how long that took.
func (p *pair) wantArrival(what string, least, most time.Duration) {
	p.t.Helper()
	began := time.Now()
	b := make([]byte, len(what))
	if _, err := io.ReadFull(p.back, b); err != nil || string(b) != what {
		p.t.Fatalf("read: got %q and %v, want %q", b, err, what)
	}
	if took := time.Since(began); took < least || took > most {
		p.t.Errorf("arrival of %q: got %v, want %v to %v", what, took, least, most)
	}
}

func (p *pair) wantEnd(c net.Conn, want error) {
	p.t.Helper()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, want) {
		p.t.Errorf("read: got %v, want %v", err, want)
	}
}

// Guards against a network that gives nodes other failures than that of a machine: days on it would find faults that there are not, or
// none.
func TestNetwork(t *testing.T) {
	for _, c := range []struct {
		name      string
		impatient bool
		play      func(p *pair)
	}{
		{"bytes arrive in order", false, func(p *pair) {
			p.send("a")
			p.send("b")
			p.wantArrival("ab", leastLatency, mostLatency)
		}},
		{"a cut keeps bytes, which arrive when it ends", false, func(p *pair) {
			p.net.cut(p.caller.addr, p.server.addr, true)
			p.send("a")
			time.AfterFunc(5*time.Second, func() { p.net.cut(p.caller.addr, p.server.addr, false) })
			p.wantArrival("a", 5*time.Second, 5*time.Second)
		}},
		{"a caller gives up what is not acknowledged", true, func(p *pair) {
			p.net.cut(p.caller.addr, p.server.addr, true)
			p.send("a")
			time.Sleep(unackedLimit + time.Millisecond)
			p.net.cut(p.caller.addr, p.server.addr, false)
			p.wantEnd(p.back, syscall.ECONNRESET)
		}},
		{"a mute host takes connections and its answers wait", false, func(p *pair) {
			p.net.silence(p.server.addr, 1)
			c, err := p.dial()
			if err != nil {
				p.t.Fatalf("dial: got %v, want none", err)
			}
			_ = c.Close()
			p.send("a")
			p.wantArrival("a", leastLatency, mostLatency)
			if _, err := p.back.Write([]byte("b")); err != nil {
				p.t.Fatalf("write: got %v, want none", err)
			}
			time.AfterFunc(time.Second, func() { p.net.silence(p.server.addr, -1) })
			began := time.Now()
			if _, err := p.there.Read(make([]byte, 1)); err != nil || time.Since(began) != time.Second {
				p.t.Errorf("answer: got %v after %v, want it after %v", err, time.Since(began), time.Second)
			}
		}},
		{"a frozen host hears nothing and sends nothing", false, func(p *pair) {
			p.server.freeze(true)
			p.send("a")
			time.AfterFunc(2*time.Second, func() { p.server.freeze(false) })
			p.wantArrival("a", 2*time.Second, 2*time.Second)
		}},
		{"a frozen host does not use the connections that it kept", false, func(p *pair) {
			raw, err := p.there.(syscall.Conn).SyscallConn()
			if err != nil {
				p.t.Fatalf("connection: got %v, want none", err)
			}
			look := func() error { return raw.Read(func(uintptr) bool { return true }) }
			if err := look(); err != nil {
				p.t.Errorf("look before the freeze: got %v, want none", err)
			}
			p.caller.freeze(true)
			if err := look(); !errors.Is(err, net.ErrClosed) {
				p.t.Errorf("look in the freeze: got %v, want %v", err, net.ErrClosed)
			}
		}},
		{"a frozen host's clock stands still and jumps", false, func(p *pair) {
			p.server.freeze(true)
			before := p.server.since()
			time.Sleep(time.Second)
			if got := p.server.since() - before; got != 0 {
				p.t.Errorf("clock in a freeze: got %v, want 0", got)
			}
			p.server.freeze(false)
			if got := p.server.since() - before; got != time.Second {
				p.t.Errorf("clock after a freeze: got %v, want %v", got, time.Second)
			}
		}},
		{"a process that is killed breaks its connections", false, func(p *pair) {
			p.server.kill(false)
			p.wantEnd(p.there, io.EOF)
			if _, err := p.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
				p.t.Errorf("dial: got %v, want %v", err, syscall.ECONNREFUSED)
			}
		}},
		{"a machine without power says nothing", false, func(p *pair) {
			p.server.kill(true)
			p.net.away(p.server.addr)
			if err := p.there.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				p.t.Fatalf("deadline: got %v, want none", err)
			}
			p.wantEnd(p.there, os.ErrDeadlineExceeded)
			if _, err := p.dial(); !errors.Is(err, context.DeadlineExceeded) {
				p.t.Errorf("dial: got %v, want %v", err, context.DeadlineExceeded)
			}
		}},
		{"what was written before the end arrives", false, func(p *pair) {
			p.send("a")
			_ = p.there.Close()
			p.wantArrival("a", leastLatency, mostLatency)
			p.wantEnd(p.back, io.EOF)
		}},
		{"a reset breaks both ends", false, func(p *pair) {
			p.net.reset(p.server.addr)
			p.wantEnd(p.there, syscall.ECONNRESET)
			p.wantEnd(p.back, syscall.ECONNRESET)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t, c.impatient)
				p.t = t
				c.play(p)
				p.net.shut()
			})
		})
	}
}
