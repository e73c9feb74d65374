package entry

import (
	"sync"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/retry"
)

// messageKind is what a call asks of its lane or reports to it.
type messageKind uint8

const (
	// messageArrive asks for admission.
	messageArrive messageKind = iota
	// messageCancel withdraws a call that waits for admission.
	messageCancel
	// messagePick asks for the instance of a further attempt.
	messagePick
	// messageEnded reports the last attempt of a call and frees its slot.
	messageEnded
	// messageFailed reports an attempt and asks whether to repeat it.
	messageFailed
	// messageGiveUp frees the slot of a call that waits for a further attempt.
	messageGiveUp
)

type message struct {
	kind   messageKind
	call   *call
	target *target
	result admission.Result
	took   time.Duration
	retry  retry.Attempt
}

// verdictKind is how a lane answers a call.
type verdictKind uint8

const (
	verdictRefuse verdictKind = iota
	verdictDispatch
	verdictRetry
	verdictStop
)

type verdict struct {
	kind       verdictKind
	target     *target
	reason     string
	retryAfter time.Duration
	delay      time.Duration
}

// call is a request in its pool's goroutine. Each message but messageCancel, messageEnded and messageGiveUp is answered
// by exactly one verdict.
type call struct {
	arrival    admission.Arrival
	repeatable bool
	verdict    chan verdict

	ref        admission.Ref
	dispatched bool
	last       string
	// cancelled is set when a messageCancel was sent, which may arrive after the end of the call.
	cancelled bool
}

var callPool = sync.Pool{New: func() any { return &call{verdict: make(chan verdict, 1)} }}

// recycle is called by whoever handles the last message or verdict of a call.
func (c *call) recycle() {
	if !c.cancelled {
		callPool.Put(c)
	}
}
