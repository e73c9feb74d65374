package admission

import "time"

// TickInterval is the interval at which Tick is to be called.
const TickInterval = 100 * time.Millisecond

// Class is the urgency class of a service; lower values are more urgent.
type Class uint8

// The urgency classes, from most to least urgent.
const (
	Urgent Class = iota
	Standard
	Deferrable
)

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	// Dispatch requires sending the request to an instance; the request holds a slot until SlotFreed.
	Dispatch Kind = iota + 1
	// Refuse requires answering that the request was not run.
	Refuse
	// Expire requires answering that the request was not run because its deadline passed or can no longer be met.
	Expire
)

// Reason is the reason for refusing or expiring a request.
type Reason uint8

// The reasons of Refuse and Expire actions.
const (
	// NoReason is the reason of Dispatch actions.
	NoReason Reason = iota
	// UnknownService means that the configuration has no such service.
	UnknownService
	// NoInstances means that the pool has no usable instance.
	NoInstances
	// CallerLimit means that the caller exceeds its rate.
	CallerLimit
	// TeamLimit means that the team exceeds its rate.
	TeamLimit
	// QueueFull means that the service's queue has reached its bound.
	QueueFull
	// DeadlineUnreachable means that the queue ahead and the learned service time exceed the deadline.
	DeadlineUnreachable
	// DeadlinePassed means that the request waited in the queue until it could no longer meet its deadline.
	DeadlinePassed
	// Overloaded means that the queue already holds more work than the pool completes within the permitted time.
	Overloaded
)

// String returns the camelCase name of the reason as used in answers.
func (r Reason) String() string {
	names := [...]string{
		"", "unknownService", "noInstances", "callerLimit", "teamLimit", "queueFull", "deadlineUnreachable",
		"deadlinePassed", "overloaded",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Ref identifies a request that is queued or holds a slot; the zero value identifies none.
type Ref uint64

// Action is one decision; which fields are set depends on its kind.
type Action struct {
	Kind   Kind
	Ref    Ref
	ID     uint64
	Reason Reason
	// RetryAfter is the estimated time until a refused request would be accepted; 0 if it is not known.
	RetryAfter time.Duration
}

// Arrival is a request that has arrived at the entry instance.
type Arrival struct {
	// ID is chosen by the caller and returned in the request's actions.
	ID      uint64
	Service string
	// Caller and Team are hashes of the caller's and the team's names; 0 is exempt from the limit. A hash with a secret
	// seed keeps callers from choosing names that displace each other's token buckets.
	Caller, Team uint64
	Deadline     time.Time
}

// Result is how an attempt at a backend server ended.
type Result uint8

// The results of an attempt.
const (
	// Succeeded is a complete response.
	Succeeded Result = iota
	// Failed is a complete response that reports an error, or a connection that was refused or lost: a refused one tells that the process is
	// gone, not that it has no capacity, and must not lower the limit of an instance that is being replaced.
	Failed
	// Rejected is a response that reports that the backend server has no capacity.
	Rejected
	// TimedOut is an attempt without a complete response in time.
	TimedOut
	// Abandoned is an attempt that ended because the caller disconnected or that never reached a backend server.
	Abandoned
)

// Completion describes an ended attempt; admission learns service times and limits from it.
type Completion struct {
	Ref      Ref
	Instance string
	Result   Result
	// Took is the time from sending the request to the end of the attempt.
	Took time.Duration
}

// Service is the part of a service's declaration that admission needs.
type Service struct {
	Name  string
	Class Class
	// Share is the guaranteed share of the pool's slots in per cent.
	Share int
	// Expected is the declared service time; it is used only until service times have been learned.
	Expected time.Duration
	// CallerRate is the number of requests per second of one caller at this entry instance; 0 sets no limit.
	CallerRate float64
	// Queue is the bound of the service's queue; 0 selects DefaultQueue.
	Queue int
}

// Team limits the requests of one team over all services of the pool.
type Team struct {
	Key uint64
	// Rate is the number of requests per second over all entry instances; 0 sets no limit.
	Rate float64
}

// Config is the configuration of one pool; a new one replaces the previous one as a whole.
type Config struct {
	Services []Service
	Teams    []Team
}

// Member is an instance of the pool with the properties that admission needs.
type Member struct {
	ID string
	// Slots is the declared number of requests that the instance processes concurrently.
	Slots int
	// InService is false while the instance is draining or leaving; all entry instances read this from the store.
	InService bool
	// RoundTrip is the round-trip time to the instance; 0 if it is not known.
	RoundTrip time.Duration
	// Ejected is set while this entry instance's routing has ejected the instance. Ejection is a local decision, so the
	// instance keeps its place in the division of slots and only this entry instance's part of it is unused.
	Ejected bool
}

// ServiceDemand is the offered load of a service at one entry instance, in slots (arrival rate times service time).
type ServiceDemand struct {
	Service string  `json:"service"`
	Slots   float64 `json:"slots"`
}

// DefaultQueue is the bound of a service's queue if its declaration sets none.
const DefaultQueue = 1024
