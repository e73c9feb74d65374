package declaration

import "time"

// Class is the urgency class of a service or job.
type Class string

// The urgency classes, from most to least urgent.
const (
	Urgent     Class = "urgent"
	Standard   Class = "standard"
	Deferrable Class = "deferrable"
)

// Classes lists the urgency classes from most to least urgent.
var Classes = []Class{Urgent, Standard, Deferrable}

// Set is a complete configuration; the maps are keyed by name, and intents by Intent.Key.
type Set struct {
	Pools      map[string]Pool      `json:"pools,omitempty"`
	Services   map[string]Service   `json:"services,omitempty"`
	Teams      map[string]Team      `json:"teams,omitempty"`
	Budgets    map[string]Budget    `json:"budgets,omitempty"`
	Waves      map[string]Wave      `json:"waves,omitempty"`
	Objectives map[string]Objective `json:"objectives,omitempty"`
	Intents    map[string]Intent    `json:"intents,omitempty"`
}

// Pool is a declared pool of instances.
type Pool struct {
	Name string `json:"name"`
	// Instances is the declared number of instances.
	Instances int `json:"instances"`
	// Slots is the number of requests that one instance processes at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections that one instance accepts.
	Connections int `json:"connections"`
	// Spare marks a pool that lends its instances to other pools.
	Spare bool `json:"spare,omitempty"`
	// Minimum is the number of instances below which moves never reduce the pool.
	Minimum int `json:"minimum"`
	// Maximum is the number of instances above which moves never enlarge the pool.
	Maximum int `json:"maximum"`
	// MilliCores, MemoryBytes and Accelerators are the size of one instance. The sum of the quotas must not exceed the sum
	// over all instances.
	MilliCores   int64 `json:"milliCores,omitempty"`
	MemoryBytes  int64 `json:"memoryBytes,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Service is a declared service that runs on a pool.
type Service struct {
	Name       string        `json:"name"`
	Pool       string        `json:"pool"`
	Class      Class         `json:"class"`
	Deadline   time.Duration `json:"deadline"`
	Repeatable bool          `json:"repeatable"`
	// MaxRequest and MaxAnswer are sizes of bodies in bytes.
	MaxRequest int64 `json:"maxRequest"`
	MaxAnswer  int64 `json:"maxAnswer"`
	// Rate is the number of requests a second that one caller may send; 0 sets no limit.
	Rate float64 `json:"rate,omitempty"`
	// Share is the guaranteed share of the pool's slots in percent.
	Share int `json:"share"`
	// CorrelationOptional accepts answers that do not echo the request id.
	CorrelationOptional bool `json:"correlationOptional,omitempty"`
	// KeyRetention is the minimum time for which idempotency keys are kept; the claim journal keeps all of them for 24 h.
	KeyRetention time.Duration `json:"keyRetention,omitempty"`
}

// Team is a declared team with its quota.
type Team struct {
	Name         string `json:"name"`
	MilliCores   int64  `json:"milliCores"`
	MemoryBytes  int64  `json:"memoryBytes"`
	Accelerators int64  `json:"accelerators"`
	// Rate is the number of requests a second over all services; 0 sets no limit.
	Rate float64 `json:"rate,omitempty"`
}

// Scope selects the instances that a budget or wave covers; empty lists select all.
type Scope struct {
	Pools       []string `json:"pools,omitempty"`
	Services    []string `json:"services,omitempty"`
	Regions     []string `json:"regions,omitempty"`
	DataCentres []string `json:"dataCentres,omitempty"`
	Racks       []string `json:"racks,omitempty"`
}

// Budget is a declared availability budget.
type Budget struct {
	Name  string `json:"name"`
	Scope Scope  `json:"scope"`
	// MaxUnavailable is the number of covered instances that may be out of service at a time.
	MaxUnavailable int `json:"maxUnavailable"`
	// MaxRacks and MaxDataCentres limit the failure domains with planned stops at a time; 0 sets no limit.
	MaxRacks       int `json:"maxRacks,omitempty"`
	MaxDataCentres int `json:"maxDataCentres,omitempty"`
}

// Wave is a declared maintenance wave.
type Wave struct {
	Name  string `json:"name"`
	Scope Scope  `json:"scope"`
	// Every is the time between two rounds.
	Every time.Duration `json:"every"`
	// From and Until are times of day in UTC between which stops may begin; equal values allow the whole day.
	From  time.Duration `json:"from"`
	Until time.Duration `json:"until"`
	// FinishBefore is the time of day in UTC before which a round should finish; 0 sets no such time, 24 h means midnight.
	FinishBefore time.Duration `json:"finishBefore,omitempty"`
	// HaltAfter is the number of instances that may fail to return to service before the wave halts.
	HaltAfter int `json:"haltAfter"`
	// ResumeAfter is the time after which a halted wave resumes automatically; with 0 only an operator resumes it.
	ResumeAfter time.Duration `json:"resumeAfter,omitempty"`
	// RebootTime is the expected duration of a reboot.
	RebootTime time.Duration `json:"rebootTime"`
	// Paused is changed by an operator's intent or by the field paused in a file.
	Paused bool `json:"paused,omitempty"`
}

// Objective is a declared service level.
type Objective struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Target is the required fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// Within is the latency up to which a completed request is good.
	Within time.Duration `json:"within"`
	Window time.Duration `json:"window"`
}

// IntentKind is the action that an operator's intent requests.
type IntentKind string

// The kinds of intents.
const (
	RetireInstance IntentKind = "retireInstance"
	CancelJob      IntentKind = "cancelJob"
	CordonRack     IntentKind = "cordonRack"
	ResumeWave     IntentKind = "resumeWave"
)

// Intent is a persistent request of an operator about one instance, job, rack or wave.
type Intent struct {
	Kind   IntentKind `json:"kind"`
	Target string     `json:"target"`
	// By is the operator who stated the intent.
	By string `json:"by,omitempty"`
	// At is the time of the statement; an intent to resume a wave applies only to halts before that time.
	At time.Time `json:"at"`
}
