package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httputil"
	"net/url"
	"time"

	"verbenalanding.example/platform/wire"
)

// heartbeats is the time of silence after which the platform removes a registration.
const heartbeats = 4500 * time.Millisecond

// lastWorkerLost: a pool has had no work for a minute and has returned all machines but one, whose worker is lost for good.
func lastWorkerLost(f *fleet, trouble bool) (bool, error) {
	f.platform.Pools, f.platform.Standby = map[string]int{"fitdesk": 4, "ledgerhall": 8}, "ledgerhall"
	f.platform.Capacity = wire.Resources{CPU: 64000, MemMb: 128000}
	f.prepare = func() error {
		target, err := url.Parse("http://" + f.platform.CloudAddr.String())
		if err != nil {
			return err
		}
		f.cloud, err = serve(httputil.NewSingleHostReverseProxy(target))
		return err
	}
	pools := []wire.Service{{Name: "fitdesk", AdmissionCheck: true}, {Name: "ledgerhall", AdmissionCheck: true, Standby: true}}
	if err := f.start(3, []wire.Route{route("kept", "/kept/")}, pools); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if done, total := f.jobs("aaaa", 3, 1, 400*time.Millisecond, 10*time.Second); done != total {
		return false, fmt.Errorf("%d of %d first jobs are done", done, total)
	}
	f.note("three jobs are done; %d workers are registered", f.workers())
	for end := time.Now().Add(70 * time.Second); f.workers() > 1; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errors.New("the pool has kept its machines")
		}
	}
	f.note("the pool has returned all machines but one")
	time.Sleep(time.Second)
	if trouble {
		machine := f.lastMachine()
		f.platform.LoseMachine(machine)
		f.note("machine %s and its worker are lost for good", machine)
		time.Sleep(heartbeats)
		f.platform.ExpireRegistration(machine)
	}
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		f.kill(n)
	}
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		if err := f.run(n); err != nil {
			return false, err
		}
	}
	f.note("all processes were killed and start again")
	time.Sleep(recovery)
	done, total := f.jobs("cccc", 10, 2, 400*time.Millisecond, finish)
	f.note("%d of %d jobs that were sent over %v after the final fault are done; %d workers are registered", done, total, recovery, f.workers())
	fmt.Println(done, "of", total, "jobs are done")
	return 4*done >= total && total > 0, nil
}

// lastMachine returns the machine of a registered worker.
func (f *fleet) lastMachine() string {
	for i := range 400 {
		if value, ok := f.platform.Store.Get(fmt.Sprintf("%sw-%04d", wire.PrefixWorkers, i)); ok {
			var w wire.Worker
			if json.Unmarshal(value, &w) == nil {
				return w.Machine
			}
		}
	}
	return ""
}
