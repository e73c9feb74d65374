package wave

import (
	"cmp"
	"fmt"
	"time"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

// RebootRetryInterval returns the minimum time between a reboot command and the next one for the same instance.
func RebootRetryInterval(declared time.Duration) time.Duration {
	return max(retryIntervalFactor*declared, RebootTimeout(declared))
}

// MaxAttempts is the number of reboots after which a failed instance is not rebooted again and needs the operator.
const MaxAttempts = 3

// RuleDrainLimit is the rule of a drain that was abandoned after drainTimeout.
const RuleDrainLimit = "drainLimit"

// The kinds of planned stops.
const (
	StopWave   = "wave"
	StopMove   = "move"
	StopRetire = "retire"
)

const (
	// defaultCheckTime is how long an instance must be healthy before it serves again. It is short because it lengthens every
	// stop, and failures during soakTime are still attributed to the wave.
	defaultCheckTime = 5 * time.Second
	// checkTimeout is how long an instance may take to become healthy after it booted.
	checkTimeout = 3 * time.Minute
	// rebootTimeoutFactor is the multiple of the declared reboot time after which an instance counts as not returned.
	rebootTimeoutFactor = 3
	// minRebootTimeout prevents every reboot from failing if the declared time is too short by a factor of 10.
	minRebootTimeout = 10 * time.Minute
	// drainTimeout is how long a drain may take before it is abandoned; it exceeds the maximum deadline of a request,
	// 60 s.
	drainTimeout = 5 * time.Minute
	// defaultClockSkew is how far the clocks of the platform and of the holder may differ.
	defaultClockSkew = 2 * time.Second
	// retryIntervalFactor is the multiple of the declared reboot time after which an unfinished reboot is commanded again.
	// Declared times may be too short by a factor of 10, and another command restarts the reboot.
	retryIntervalFactor = 12
	// retryDelay is the delay before a reboot of a failed instance; it doubles with each attempt.
	retryDelay = 2 * time.Minute
)

// Observation is the observed state of one instance for one step.
type Observation struct {
	Now      time.Time
	Instance record.Instance
	// Listed is the instance's entry in the platform's list; Present is false when there is none.
	Listed  platform.Instance
	Present bool
	// AsOf is the time whose state the list shows.
	AsOf time.Time
	// Confirmed reports that every entry instance has confirmed the drain and has nothing in flight.
	Confirmed bool
	// Unconfirmed names the entry instances that have not confirmed, if they are known.
	Unconfirmed string
	// InFlight is the number of requests that the backend server reports; InFlightKnown is false when it did not answer.
	InFlight      int
	InFlightKnown bool
	// StopOrdered reports that the order to stop is still in force.
	StopOrdered bool
	// Retire reports that a failed instance is to be retired.
	Retire bool
	// Overdrawn names a budget that failures have overdrawn, or is empty.
	Overdrawn string
	// RebootTime is the declared reboot time.
	RebootTime time.Duration
	// CheckTime is how long an instance must be healthy before it serves again; 5 s when 0.
	CheckTime time.Duration
	// ClockSkew is how far the clocks of the platform and of the holder may differ; 2 s when 0.
	ClockSkew time.Duration
}

func (o Observation) checkTime() time.Duration { return cmp.Or(o.CheckTime, defaultCheckTime) }

// Step is Stay, Advance or Command.
type Step interface{ step() }

// Stay reports why the instance remains in its state.
type Stay struct{ Rule, Detail string }

// Advance requests an event of the instance's state chart.
type Advance struct{ Event, Rule, Detail string }

// Command requests that the recorded command is sent to the platform.
type Command struct{}

func (Stay) step()    {}
func (Advance) step() {}
func (Command) step() {}

// Next decides the next step of one instance.
func Next(o Observation) Step {
	switch o.Instance.State {
	case InService:
		return nextInService(o)
	case "draining":
		return nextDraining(o)
	case "stopping":
		return nextStopping(o)
	case "rebooting":
		return nextRebooting(o)
	case "moving":
		return Advance{Event: "switched", Rule: "move", Detail: "the pool was changed"}
	case "checking":
		return nextChecking(o)
	case Failed:
		return nextFailed(o)
	}
	return Stay{Rule: "retired", Detail: "the instance has left the fleet"}
}

func (o Observation) timeInState() time.Duration { return o.Now.Sub(o.Instance.Since) }

func (o Observation) up() bool {
	return o.Present && o.Listed.Healthy && o.Listed.Status != platform.Gone
}

// upSince reports whether the list shows the instance as healthy at a time after it entered its state. A list that lags may
// still show the health from before a reboot.
func (o Observation) upSince() bool {
	return o.up() && o.AsOf.After(o.Instance.Since.Add(cmp.Or(o.ClockSkew, defaultClockSkew)))
}

func (o Observation) drained() bool { return o.Confirmed && o.InFlightKnown && o.InFlight == 0 }

func nextInService(o Observation) Step {
	if !o.up() {
		return Advance{Event: "fail", Rule: "list", Detail: "the platform's list shows the instance as not healthy"}
	}
	return Stay{Rule: "serving", Detail: "the instance serves"}
}

func nextDraining(o Observation) Step {
	switch {
	case !o.up():
		return Advance{Event: "fail", Rule: "list", Detail: "the instance failed while it drained"}
	case !o.StopOrdered:
		return Advance{Event: "abandon", Rule: "order", Detail: "the order to stop was withdrawn"}
	case o.Overdrawn != "":
		return Advance{Event: "abandon", Rule: "overdrawn", Detail: "failures overdrew " + o.Overdrawn}
	case o.drained() && o.Instance.StopPurpose == StopMove:
		return Advance{Event: "move", Rule: "drained", Detail: "every entry instance confirmed, 0 requests in flight"}
	case o.drained():
		return Advance{Event: "stop", Rule: "drained", Detail: "every entry instance confirmed, 0 requests in flight"}
	case o.timeInState() > drainTimeout:
		return Advance{Event: "abandon", Rule: RuleDrainLimit, Detail: fmt.Sprintf("not drained after %s", drainTimeout)}
	}
	return Stay{Rule: "drain", Detail: o.pending()}
}

// pending describes what the drain still waits for.
func (o Observation) pending() string {
	switch {
	case !o.Confirmed && o.Unconfirmed != "":
		return o.Unconfirmed
	case !o.Confirmed:
		return "not every entry instance has confirmed the drain"
	case !o.InFlightKnown:
		return "the backend server does not tell how many requests are in flight"
	}
	return fmt.Sprintf("%d requests are in flight at the backend server", o.InFlight)
}

// nextStopping checks again whether the instance is drained, because the holder may have been paused since the last check.
func nextStopping(o Observation) Step {
	retire := o.Instance.StopPurpose == StopRetire
	switch {
	case retire && o.Instance.CommandAcknowledged:
		return Advance{Event: "retire", Rule: "retired", Detail: "the platform took the instance out of the fleet"}
	case retire && o.Instance.Command != "":
		return Command{}
	case !o.up():
		return Advance{Event: "fail", Rule: "list", Detail: "the instance failed before it was stopped"}
	case !o.drained():
		return Stay{Rule: "drain", Detail: o.pending()}
	case retire:
		return Command{}
	}
	return Advance{Event: "reboot", Rule: "drained", Detail: "0 requests in flight"}
}

func nextRebooting(o Observation) Step {
	i := o.Instance
	switch {
	case i.Command != "" && !i.CommandAcknowledged:
		return Command{}
	case o.upSince() && (i.Command == "" || o.Listed.BootCount > i.BootCountBefore):
		return Advance{Event: "booted", Rule: "list", Detail: fmt.Sprintf("boot count %d", o.Listed.BootCount)}
	case o.timeInState() > RebootTimeout(o.RebootTime):
		return Advance{Event: "fail", Rule: "notReturned", Detail: fmt.Sprintf("not back after %s", RebootTimeout(o.RebootTime))}
	}
	return Stay{Rule: "reboot", Detail: fmt.Sprintf("waiting for boot count above %d", i.BootCountBefore)}
}

// RebootTimeout returns how long a reboot may take before the instance counts as not returned.
func RebootTimeout(declared time.Duration) time.Duration {
	return max(rebootTimeoutFactor*declared, minRebootTimeout)
}

func nextChecking(o Observation) Step {
	switch {
	case o.upSince() && o.timeInState() >= o.checkTime():
		return Advance{Event: "return", Rule: "checked", Detail: fmt.Sprintf("healthy for %s", o.checkTime())}
	case !o.up() && o.timeInState() > checkTimeout:
		return Advance{Event: "fail", Rule: "notHealthy", Detail: fmt.Sprintf("not healthy within %s", checkTimeout)}
	}
	return Stay{Rule: "check", Detail: fmt.Sprintf("must be healthy for %s", o.checkTime())}
}

// nextFailed returns a healthy instance to service, and reboots an unhealthy one a limited number of times.
func nextFailed(o Observation) Step {
	i := o.Instance
	delay := retryDelay << min(i.Attempts, MaxAttempts)
	if i.CommandAcknowledged && o.Listed.BootCount <= i.BootCountBefore {
		delay = max(delay, RebootRetryInterval(o.RebootTime)-RebootTimeout(o.RebootTime))
	}
	switch {
	case o.Retire:
		return retireFailed(o)
	case o.upSince() && o.timeInState() >= o.checkTime():
		return Advance{Event: "retry", Rule: "returned", Detail: "the platform's list shows the instance as healthy again"}
	case i.Attempts >= MaxAttempts:
		return Stay{Rule: "attempts", Detail: fmt.Sprintf("%d reboots did not help; retire or replace the instance", i.Attempts)}
	case o.timeInState() < delay:
		return Stay{Rule: "backoff", Detail: fmt.Sprintf("reboot %d follows after %s", i.Attempts+1, delay)}
	case !o.Confirmed || o.InFlightKnown && o.InFlight > 0:
		return Stay{Rule: "drain", Detail: "not every entry instance has confirmed that nothing is in flight"}
	}
	return Advance{Event: "retry", Rule: "reboot", Detail: fmt.Sprintf("attempt %d of %d", i.Attempts+1, MaxAttempts)}
}

// retireFailed retires a failed instance once no entry instance waits for a response from it.
func retireFailed(o Observation) Step {
	switch {
	case o.Instance.StopPurpose == StopRetire && o.Instance.CommandAcknowledged:
		return Advance{Event: "retire", Rule: "retired", Detail: "the platform took the failed instance out of the fleet"}
	case !o.Confirmed || o.InFlightKnown && o.InFlight > 0:
		return Stay{Rule: "drain", Detail: o.pending()}
	}
	return Command{}
}
