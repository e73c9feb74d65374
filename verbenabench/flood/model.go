package flood

import (
	"time"

	"verbenalanding.example/fleet/admission"
)

const (
	// slotsPerInstance is the number of requests that a backend server executes at a time, and maxConnections that of its open connections.
	slotsPerInstance = 8
	maxConnections   = 64
	entryCount       = 9
	instancesPerRack = 4
	// calmLoad is the load of a pool without overload, as a share of its capacity.
	calmLoad = 0.5
	// overload is the demand of a service that overloads its pool, as a multiple of the pool's capacity.
	overload = 5.0
)

// service is a sample service. Its mean service time is an assumption of the model.
type service struct {
	name            string
	class           admission.Class
	deadline        time.Duration
	meanTime        time.Duration
	repeatable      bool
	guaranteedShare int
	// loadShare is the service's share of the load without overload.
	loadShare float64
}

// pool is a pool of a deployment with the services that run on it.
type pool struct {
	name      string
	instances int
	services  []service
}

// deployment holds the pools of one customer.
type deployment struct {
	// hop is the network latency from an entry instance to a backend server in another data centre.
	hop   time.Duration
	pools []pool
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func singleServicePool(name string, instances int, s service) pool {
	s.loadShare = 1
	return pool{name: name, instances: instances, services: []service{s}}
}

var deployments = map[string]deployment{
	"cascade": {hop: time.Millisecond, pools: []pool{
		{name: "fittingDesk", instances: 9, services: []service{
			{"sizeMatch", admission.Urgent, 2 * time.Second, milliseconds(80), true, 50, 0.6},
			{"fittingHistory", admission.Standard, 5 * time.Second, milliseconds(150), true, 30, 0.4},
		}},
		singleServicePool("cuttingRoom", 9, service{name: "patternRecut", class: admission.Standard, deadline: 30 * time.Second, meanTime: 2 * time.Second, repeatable: true, guaranteedShare: 80}),
		singleServicePool("billing", 11, service{name: "alterationCharge", class: admission.Standard, deadline: 10 * time.Second, meanTime: milliseconds(100), guaranteedShare: 80}),
		singleServicePool("embroidery", 12, service{name: "garmentOrder", class: admission.Standard, deadline: 10 * time.Second, meanTime: milliseconds(150), guaranteedShare: 80}),
		singleServicePool("ledgerTools", 8, service{name: "inventoryTally", class: admission.Deferrable, deadline: 60 * time.Second, meanTime: 3 * time.Second, repeatable: true, guaranteedShare: 50}),
	}},
	"tintaviva": {hop: 1500 * time.Microsecond, pools: []pool{
		singleServicePool("meterReading", 9, service{name: "meterReading", class: admission.Standard, deadline: 5 * time.Second, meanTime: milliseconds(50), repeatable: true, guaranteedShare: 80}),
		{name: "faultsAndFirmware", instances: 9, services: []service{
			{"quickCheck", admission.Urgent, 2 * time.Second, milliseconds(60), true, 50, 0.6},
			{"firmwareRollout", admission.Deferrable, 60 * time.Second, milliseconds(1500), true, 20, 0.4},
		}},
		singleServicePool("deviceHistory", 11, service{name: "historyLookup", class: admission.Standard, deadline: 5 * time.Second, meanTime: milliseconds(150), repeatable: true, guaranteedShare: 80}),
		singleServicePool("consumables", 12, service{name: "tonerReorder", class: admission.Standard, deadline: 10 * time.Second, meanTime: milliseconds(100), guaranteedShare: 80}),
		singleServicePool("supportTools", 8, service{name: "tonerForecast", class: admission.Deferrable, deadline: 60 * time.Second, meanTime: 3 * time.Second, repeatable: true, guaranteedShare: 50}),
	}},
}

// Times since the start of a run. The baseline is measured between warmupEnd and overloadStart.
const (
	warmupEnd     = 5 * time.Second
	overloadStart = 15 * time.Second
	overloadEnd   = 35 * time.Second
	// settleEnd is the time from which latency must be back at its baseline.
	settleEnd = overloadEnd + 5*time.Second
	runEnd    = 50 * time.Second
	// rackLossDelay is the time from the start of the overload to the loss of a rack, which lasts until the end of the overload.
	rackLossDelay = 5 * time.Second
)

// scenario describes the load and the faults during the overload. overloadLeast and overloadMost are true if the least and the most urgent
// service of each pool overload it.
type scenario struct {
	name                        string
	overloadLeast, overloadMost bool
	rackLost                    bool
	storeDown                   bool
	massCancellation            bool
	unevenBalancer              bool
	wrongServiceTimes           bool
}

var scenarios = []scenario{
	{name: "calm"},
	{name: "least urgent 5x", overloadLeast: true},
	{name: "most urgent 5x", overloadMost: true},
	{name: "both 5x", overloadLeast: true, overloadMost: true},
	{name: "most 5x, rack lost", overloadMost: true, rackLost: true},
	{name: "most 5x, store down", overloadMost: true, storeDown: true},
	{name: "both 5x, mass cancellation", overloadLeast: true, overloadMost: true, massCancellation: true},
	{name: "both 5x, uneven balancer", overloadLeast: true, overloadMost: true, unevenBalancer: true},
	{name: "both 5x, times wrong by 10", overloadLeast: true, overloadMost: true, wrongServiceTimes: true},
}

// weights returns the relative shares of the load that the load balancer sends to the entry instances. With an uneven balancer, half of the
// load goes to one entry instance, which changes every five seconds.
func (s scenario) weights(now time.Duration) [entryCount]float64 {
	var w [entryCount]float64
	for i := range w {
		w[i] = float64(1 + i%3)
	}
	if s.unevenBalancer && now >= overloadStart && now < overloadEnd {
		w = [entryCount]float64{1, 2, 1, 0.5, 2, 1, 0.5, 1, 1}
		w[int(now/(5*time.Second))%entryCount] = 10
	}
	return w
}

// rate returns the arrivals per second of a service.
func (s scenario) rate(p pool, k int, now time.Duration) float64 {
	v := p.services[k]
	capacity := float64(p.instances*slotsPerInstance) / v.meanTime.Seconds()
	if now >= overloadStart && now < overloadEnd && (s.overloadMost && k == 0 || s.overloadLeast && k == len(p.services)-1) {
		return capacity * overload
	}
	return capacity * calmLoad * v.loadShare
}
