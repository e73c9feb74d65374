package main

import (
	"net"
	"sync"
)

// proxy forwards connections to a target. Connections that were open when it is silenced carry nothing any more, in either direction, and are not
// closed; new ones work.
type proxy struct {
	target string
	addr   string

	mu    sync.Mutex
	conns map[*forwarded]struct{}
}

type forwarded struct {
	mu             sync.Mutex
	client, server net.Conn
	silent         bool
}

// newProxy listens at an address, or at a free port of loopback if it is empty.
func newProxy(addr, target string) (*proxy, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, addr: l.Addr().String(), conns: map[*forwarded]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	f := &forwarded{client: client, server: server}
	p.mu.Lock()
	p.conns[f] = struct{}{}
	p.mu.Unlock()
	go f.copy(server, client)
	f.copy(client, server)
	p.mu.Lock()
	delete(p.conns, f)
	p.mu.Unlock()
}

// copy forwards one direction. The end of a silent connection is not passed on either.
func (f *forwarded) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.silent
		f.mu.Unlock()
		if err != nil {
			if silent {
				return
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the open connections go silent for good and returns how many did so.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for f := range p.conns {
		f.mu.Lock()
		if !f.silent {
			f.silent = true
			n++
		}
		f.mu.Unlock()
	}
	return n
}
