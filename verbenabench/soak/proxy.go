package soak

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// mode is how a proxy treats the bytes that pass it.
type mode int

const (
	pass mode = iota
	// delayed bytes arrive proxyDelay later.
	delayed
	// silent connections, new and open ones, discard all further bytes.
	silent
	// oneWay connections pass requests and discard answers.
	oneWay
)

const modes = int(oneWay) + 1

// String returns the name of the mode.
func (m mode) String() string { return [...]string{"pass", "delayed", "silent", "oneWay"}[m] }

// proxyDelay is the additional latency of delayed bytes.
const proxyDelay = 120 * time.Millisecond

// proxy forwards connections to a target and can disturb them.
type proxy struct {
	target netip.AddrPort
	addr   netip.AddrPort
	group  *errgroup.Group

	mu       sync.Mutex
	listener net.Listener
	ended    bool
	mode     mode
	conns    map[*proxyConn]struct{}
}

// proxyConn is one connection through a proxy. A direction that discards bytes never forwards again, since part of its stream is lost.
type proxyConn struct {
	client, server                  net.Conn
	discardRequests, discardAnswers bool
}

func newProxy(target netip.AddrPort, group *errgroup.Group) (*proxy, error) {
	p := &proxy{target: target, addr: netip.MustParseAddrPort("127.0.0.1:0"), group: group, conns: map[*proxyConn]struct{}{}}
	return p, p.open()
}

// open starts to listen at the proxy's address, unless the proxy already listens or the run ends.
func (p *proxy) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ended {
		return nil
	}
	l, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return err
	}
	if p.addr, err = netip.ParseAddrPort(l.Addr().String()); err != nil {
		return err
	}
	p.listener = l
	p.group.Go(func() error { return p.accept(l) })
	return nil
}

// closeListener closes the listener, so that new connections are refused as on a machine where no process listens. Open connections end with
// the process.
func (p *proxy) closeListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *proxy) accept(l net.Listener) error {
	for {
		client, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		server, err := net.DialTimeout("tcp", p.target.String(), time.Second)
		if err != nil {
			reset(client)
			continue
		}
		k := &proxyConn{client: client, server: server}
		p.mu.Lock()
		k.applyMode(p.mode)
		p.conns[k] = struct{}{}
		p.mu.Unlock()
		p.group.Go(func() error { return p.copy(k, client, server, &k.discardRequests) })
		p.group.Go(func() error { return p.copy(k, server, client, &k.discardAnswers) })
	}
}

func (k *proxyConn) applyMode(m mode) {
	k.discardRequests = k.discardRequests || m == silent
	k.discardAnswers = k.discardAnswers || m == silent || m == oneWay
}

// copy forwards the bytes of one direction until either side closes the connection.
func (p *proxy) copy(k *proxyConn, from, to net.Conn, discarding *bool) error {
	defer p.remove(k)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			// The end of a connection is not an error of the proxy.
			return nil
		}
		p.mu.Lock()
		discard, delay := *discarding, p.mode == delayed
		p.mu.Unlock()
		if discard {
			continue
		}
		if delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return nil
		}
	}
}

func (p *proxy) remove(k *proxyConn) {
	p.mu.Lock()
	delete(p.conns, k)
	p.mu.Unlock()
	_ = k.client.Close()
	_ = k.server.Close()
}

// set changes the mode for new connections and applies it to the open ones.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for k := range p.conns {
		k.applyMode(m)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.conns {
		reset(k.client)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.closeListener()
	p.resetAll()
}

// reset closes a connection so that its other end receives a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
