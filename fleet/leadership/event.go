package leadership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is a change to log.
type Event struct {
	Kind string
	// Duty is the name of the duty that the event concerns; for events about another node, the name of that node.
	Duty string
	Err  error
	// Fence is the fencing token of a duty that was taken; Former is the holder before, and Reason why it was replaced.
	Fence  uint64
	Former Duty
	Reason string
	// Witnesses are the nodes that confirm a duty that was taken while the store does not answer its holder.
	Witnesses []string
	// Answers are those of the other nodes that were asked to confirm the held duties.
	Answers []PeerAnswer
}

func nodeNames(list []Member) []string {
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.Node)
	}
	return names
}

// PeerAnswer is the answer of another node that was asked to confirm the held duties.
type PeerAnswer struct {
	Node string
	// StoreAge is how long ago the store last answered that node.
	StoreAge time.Duration
	Err      error
}

// String returns the node and the age of its last answer of the store, or that it gave no answer.
func (a PeerAnswer) String() string {
	if a.Err != nil {
		return a.Node + " no answer"
	}
	return fmt.Sprintf("%s %dms", a.Node, a.StoreAge.Milliseconds())
}

// Confirmer is who confirmed that a duty is held.
type Confirmer string

// The confirmers of a duty.
const (
	ConfirmedByStore Confirmer = "store"
	ConfirmedByNodes Confirmer = "nodes"
)

// Confirmation is a confirmation that a duty was held at a time.
type Confirmation struct {
	At time.Time
	By Confirmer
}

// vacant is the reason for the acquisition of a duty whose key was gone.
const vacant takeoverReason = "duty was vacant"

// confirmationLogInterval is how often unchanged outcomes of requests to confirm the held duties are logged; there are four requests a second.
const confirmationLogInterval = time.Second

// notifyConfirmation reports who was asked to confirm the held duties, and with which outcome.
func (el *Elector) notifyConfirmation(kind string, queries map[process]*witnessQuery) {
	answers := make([]PeerAnswer, 0, len(queries))
	for _, q := range queries {
		answers = append(answers, PeerAnswer{Node: q.witness.Node, StoreAge: q.answer.StoreAge, Err: q.err})
	}
	slices.SortFunc(answers, func(a, b PeerAnswer) int { return strings.Compare(a.Node, b.Node) })
	outcome := kind
	for _, a := range answers {
		outcome += fmt.Sprintf(" %s %t", a.Node, a.Err != nil)
	}
	el.mu.Lock()
	now := el.Clock()
	due := outcome != el.confirmationLogged || now.Sub(el.confirmationLoggedAt) >= confirmationLogInterval
	if due {
		el.confirmationLogged, el.confirmationLoggedAt = outcome, now
	}
	el.mu.Unlock()
	if due {
		el.emit(Event{Kind: kind, Answers: answers})
	}
}
