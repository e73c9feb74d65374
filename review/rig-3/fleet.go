package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const host = "fleet.example"

// fleet runs entry processes beside the project's stand-in of the platform. All their connections go through proxies.
type fleet struct {
	platform  *standin.Platform
	nodes     []*entry
	proxies   []*proxy
	dir       string
	record    *os.File
	began     time.Time
	cancel    context.CancelFunc
	group     *errgroup.Group
	mu        sync.Mutex
	addrCount int
	// cloud is the address of the list of machines; empty for that of the stand-in. prepare is called once the store runs.
	cloud string
	// advice is the address of the advice service; empty for none.
	advice  string
	prepare func() error
}

type entry struct {
	name    string
	front   string
	ready   string
	peer    string
	gate    *standin.Gate
	path    string
	command *exec.Cmd
	log     *os.File
}

func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
}

// nextAddr returns an address that no other run on the machine uses: the loopback address depends on the process ID.
func (f *fleet) nextAddr() netip.AddrPort {
	const firstPort = 20001
	pid := os.Getpid()
	f.addrCount++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)}), uint16(firstPort+f.addrCount))
}

func (f *fleet) proxy(addr, target string) (*proxy, error) {
	p, err := newProxy(addr, target)
	if err == nil {
		f.proxies = append(f.proxies, p)
	}
	return p, err
}

// start starts the stand-in and the processes, and waits until they are ready.
func (f *fleet) start(count int, routes []wire.Route, services []wire.Service) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group, ctx = errgroup.WithContext(ctx)
	f.platform.AdvertisedAddr = func(addr netip.AddrPort) (netip.AddrPort, error) {
		p, err := f.proxy("", addr.String())
		if err != nil {
			return netip.AddrPort{}, err
		}
		return netip.ParseAddrPort(p.addr)
	}
	if err := f.platform.Start(ctx, f.group); err != nil {
		return err
	}
	f.platform.Store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	if f.prepare != nil {
		if err := f.prepare(); err != nil {
			return err
		}
	}
	f.configure(1, routes, services)
	for i := range count {
		if err := f.add(fmt.Sprintf("front-%d", i+1)); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if n == other {
				continue
			}
			p, err := f.proxy("", n.peer)
			if err != nil {
				return err
			}
			other.gate.Translate(n.peer, p.addr)
		}
	}
	for _, n := range f.nodes {
		if err := f.run(n); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) configure(version int64, routes []wire.Route, services []wire.Service) {
	f.platform.Store.Put(wire.KeyConfiguration, wire.Configuration{
		Version: version, Routes: routes, Services: services, Limits: wire.Limits{MaxBodyBytes: 1 << 18, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
}

func (f *fleet) add(name string) error {
	var addrs [3]netip.AddrPort
	for i := range addrs {
		addrs[i] = f.nextAddr()
	}
	gate, err := f.platform.OpenGate()
	if err != nil {
		return err
	}
	store, err := f.proxy("", gate.Addr.String())
	if err != nil {
		return err
	}
	cloudAddr := f.cloud
	if cloudAddr == "" {
		cloudAddr = f.platform.CloudAddr.String()
	}
	cloud, err := f.proxy("", cloudAddr)
	if err != nil {
		return err
	}
	settings := platform.Settings{
		Node: name, DataCentre: "z1", IP: addrs[0].Addr(), Entry: addrs[0], Readiness: addrs[1], PeerPorts: [2]uint16{addrs[2].Port(), addrs[2].Port()},
		Store: netip.MustParseAddrPort(store.addr), Machines: netip.MustParseAddrPort(cloud.addr), Cores: 0.4, MemoryMB: 284, MaxFDs: 4100,
		MinLeaseTTL: time.Second,
		Bounds: platform.Bounds{
			Configuration: 2 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second, MaxLease: 6 * time.Second, Stop: 200 * time.Millisecond,
			Cancel: 3 * time.Second, OrderGap: 3 * time.Second, Move: 1500 * time.Millisecond, Upkeep: 2 * time.Second,
			StatusRetention: 2 * time.Minute, ConfigurationSkew: 5 * time.Second,
		},
	}
	n := &entry{name: name, front: addrs[0].String(), ready: addrs[1].String(), peer: addrs[2].String(), gate: gate, path: filepath.Join(f.dir, name+".json")}
	if err := standin.WriteSettings(n.path, settings); err != nil {
		return err
	}
	if f.advice != "" {
		if err := addAdvice(n.path, f.advice); err != nil {
			return err
		}
	}
	f.nodes = append(f.nodes, n)
	return nil
}

func (f *fleet) run(n *entry) error {
	var err error
	if n.log, err = os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	n.command = exec.Command("target/verbenaentry")
	n.command.Env = append(os.Environ(), "VERBENALANDING_SETTINGS="+n.path)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	return n.command.Start()
}

func (n *entry) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + n.ready + wire.PathReady)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// stop ends the processes and the stand-in.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			_ = n.command.Wait()
		}
	}
	if f.cancel != nil {
		f.cancel()
	}
}

// call sends a request on a connection of its own and returns the status, 0 without an answer, and the body.
func (f *fleet) call(n *entry, method, path string, body any) (int, []byte) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, answer, err := standin.Request{Method: method, Host: host, Path: path, Body: content}.Send(ctx, client, netip.MustParseAddrPort(n.front))
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// addAdvice adds the address of the advice service to a settings file.
func addAdvice(path, addr string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var settings wire.Settings
	if err := json.Unmarshal(content, &settings); err != nil {
		return err
	}
	settings.Advice = addr
	if content, err = json.Marshal(settings); err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}

// kill ends a process.
func (f *fleet) kill(n *entry) {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}
