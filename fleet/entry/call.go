package entry

import (
	"sync"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/retry"
)

// messageKind is the kind of a message from a call to its pool's loop.
type messageKind uint8

const (
	// messageArrive requests admission.
	messageArrive messageKind = iota
	// messageCancel withdraws a call that waits for admission.
	messageCancel
	// messagePick requests the instance of a further attempt.
	messagePick
	// messageEnded reports the last attempt of a call and frees its slot.
	messageEnded
	// messageFailed reports a failed attempt and requests a decision about a retry.
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

// decisionKind is the kind of the pool loop's reply to a message.
type decisionKind uint8

const (
	decisionRefuse decisionKind = iota
	decisionDispatch
	decisionRetry
	decisionStop
)

type decision struct {
	kind       decisionKind
	target     *target
	reason     string
	retryAfter time.Duration
	delay      time.Duration
}

// call is the state of a request in its pool's loop. Each message but messageCancel, messageEnded and messageGiveUp is
// answered by exactly one decision.
type call struct {
	arrival    admission.Arrival
	repeatable bool
	decisions  chan decision

	ref          admission.Ref
	dispatched   bool
	lastInstance string
	// cancelled is set when a messageCancel was sent, which may arrive after the end of the call.
	cancelled bool
}

var callPool = sync.Pool{New: func() any { return &call{decisions: make(chan decision, 1)} }}

// recycle returns a call to the pool; the handler of its last message or decision calls it.
func (c *call) recycle() {
	if !c.cancelled {
		callPool.Put(c)
	}
}
