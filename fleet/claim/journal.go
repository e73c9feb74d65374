package claim

import "time"

const (
	// writeRate and writeBurst allow at most 10 writes in any window of one second, which is the shard's limit in the store.
	// The burst lets the few claims of a lightly loaded shard be written immediately; the rate serves 144 claims/s in full
	// segments.
	writeRate  = 6.0
	writeBurst = 4.0
	// lineSize is the largest encoded size of a line in bytes; segments are closed before they exceed their limit.
	lineSize = 160
	// headSize is the largest encoded size of a segment without lines in bytes.
	headSize = 100
)

// keyState is the state of a key; it is kept small because a shard holds 24 h of keys.
type keyState struct {
	claimID id
	body    id
	segment uint32
	phase   phase
}

type phase uint8

const (
	// pending claims are not yet known to be in the store.
	pending phase = iota
	granted
	completed
	unknown
	released
)

// waiter is a claim that waits for its write.
type waiter struct {
	key     id
	claimID id
	ticket  uint64
}

// Journal is the state of one shard; set the exported fields before the first call.
type Journal struct {
	// Epoch is the holder's fencing epoch.
	Epoch uint64
	// Retention is how long a key is kept after its claim; 24 h when 0.
	Retention time.Duration
	// MaxKeys bounds the keys in memory; 300,000 when 0, which suffices for 24 h at 3.5 claims/s.
	MaxKeys int
	// MaxWaiting bounds the claims that wait for a write; 4,096 when 0.
	MaxWaiting int
	// SegmentSize is the largest size of a segment in bytes; 4,096 when 0.
	SegmentSize int
	// RollSize is the size in bytes at which a segment is closed; 1,024 when 0. Each write contains the whole segment, so a
	// small size saves bytes and a large one saves keys in the store.
	RollSize int
	// ReportDelay is how long a report may wait to be written together with a claim; 1 s when 0.
	ReportDelay time.Duration

	keys       map[id]keyState
	closed     []closedSegment
	number     uint64
	created    bool
	segment    Segment
	unwritten  []Line
	waiting    []waiter
	oldestLine time.Time
	inFlight   []waiter
	writing    bool
	stalled    bool
	fenced     bool
	tokens     float64
	refilledAt time.Time
}

// Default fills unset fields.
func (j *Journal) Default() {
	if j.Retention == 0 {
		j.Retention = 24 * time.Hour
	}
	if j.MaxKeys == 0 {
		j.MaxKeys = 300_000
	}
	if j.MaxWaiting == 0 {
		j.MaxWaiting = 4096
	}
	if j.SegmentSize == 0 {
		j.SegmentSize = 4096
	}
	if j.RollSize == 0 {
		j.RollSize = 1024
	}
	if j.ReportDelay == 0 {
		j.ReportDelay = time.Second
	}
	if j.keys == nil {
		j.keys = map[id]keyState{}
		j.tokens = writeBurst
	}
}

// Replay adds a sealed segment of earlier holders; segments must be replayed in order before Open.
func (j *Journal) Replay(number uint64, s Segment) {
	j.Default()
	c := closedSegment{number: number, newest: s.NewestClaim()}
	for _, l := range s.Lines {
		if l.Body != nil {
			j.keys[l.Key] = keyState{claimID: l.Claim, body: *l.Body, segment: uint32(number), phase: granted}
			c.keys = append(c.keys, l.Key)
		}
		if l.Outcome != "" {
			j.recordOutcome(l.Key, l.Claim, l.Outcome)
		}
	}
	j.closed = append(j.closed, c)
}

// Open starts appending at a segment that the holder has created empty with its epoch.
func (j *Journal) Open(number uint64) {
	j.Default()
	j.number = number
	j.created = true
	j.segment = Segment{Epoch: j.Epoch, Writer: j.Epoch}
}

// Keys returns the number of keys in memory.
func (j *Journal) Keys() int { return len(j.keys) }

// Step applies an event and returns the resulting actions.
func (j *Journal) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Claim:
		actions = j.claim(now, e)
	case Finished:
		j.finish(now, e.Finish)
	case Committed:
		actions = j.committed()
	case Stalled:
		j.stalled = true
	case Fenced:
		return j.fence()
	case Tick:
	}
	actions = j.expire(now, actions)
	return j.flush(now, actions)
}

// NextTick returns when the next Tick is needed; it returns false when none is needed.
func (j *Journal) NextTick(now time.Time) (time.Time, bool) {
	if j.writing || j.fenced || len(j.unwritten) == 0 {
		return time.Time{}, false
	}
	due := j.oldestLine.Add(j.ReportDelay)
	if len(j.waiting) > 0 {
		due = now
	}
	j.refill(now)
	if j.tokens < 1 {
		tokenAt := now.Add(time.Duration((1 - j.tokens) / writeRate * float64(time.Second)))
		if tokenAt.After(due) {
			due = tokenAt
		}
	}
	return due, true
}

func (j *Journal) claim(now time.Time, e Claim) []Action {
	key, claimID, body := hashID(e.Request.Service, e.Request.KeyHash), hashID(e.Request.ClaimID), hashID(e.Request.BodyDigest)
	state, found := j.keys[key]
	switch {
	case j.fenced:
		return []Action{Reject{e.Ticket, ReasonNotHolder}}
	case found && state.claimID == claimID:
		return j.answerRepeated(e.Ticket, key, claimID, state)
	case found && state.phase != released && state.body != body:
		return []Action{Mismatch{e.Ticket}}
	case found && state.phase == completed:
		return []Action{Duplicate{e.Ticket, Completed}}
	case found && state.phase != released:
		return []Action{Duplicate{e.Ticket, Unknown}}
	case j.stalled:
		return []Action{Reject{e.Ticket, ReasonStoreDown}}
	case len(j.waiting) >= j.MaxWaiting:
		return []Action{Reject{e.Ticket, ReasonQueueFull}}
	case !found && len(j.keys) >= j.MaxKeys:
		return []Action{Reject{e.Ticket, ReasonMemoryFull}}
	}
	j.keys[key] = keyState{claimID: claimID, body: body, phase: pending}
	j.addLine(now, Line{Key: key, Claim: claimID, Body: &body, At: now.Unix()})
	j.waiting = append(j.waiting, waiter{key: key, claimID: claimID, ticket: e.Ticket})
	return nil
}

// answerRepeated answers a claim that is repeated with the same claim id, for example after a lost answer.
func (j *Journal) answerRepeated(ticket uint64, key, claimID id, state keyState) []Action {
	switch state.phase {
	case pending:
		if j.writing && contains(j.inFlight, key, claimID) {
			j.inFlight = append(j.inFlight, waiter{key: key, claimID: claimID, ticket: ticket})
		} else {
			j.waiting = append(j.waiting, waiter{key: key, claimID: claimID, ticket: ticket})
		}
		return nil
	case released:
		return []Action{Reject{ticket, ReasonReleased}}
	case completed:
		return []Action{Duplicate{ticket, Completed}}
	case unknown:
		return []Action{Duplicate{ticket, Unknown}}
	default:
		return []Action{Grant{ticket}}
	}
}

func contains(waiters []waiter, key, claimID id) bool {
	for _, a := range waiters {
		if a.key == key && a.claimID == claimID {
			return true
		}
	}
	return false
}

func (j *Journal) finish(now time.Time, f Finish) {
	key, claimID := hashID(f.Service, f.KeyHash), hashID(f.ClaimID)
	if j.fenced {
		return
	}
	if _, found := j.keys[key]; !found && f.Outcome == NotRun && len(j.keys) < j.MaxKeys {
		// The report arrived before its claim, or the claim was lost: a claim that arrives later must not take the key.
		j.keys[key] = keyState{claimID: claimID, phase: released}
		j.addLine(now, Line{Key: key, Claim: claimID, Body: &id{}, At: now.Unix(), Outcome: NotRun})
		return
	}
	if j.recordOutcome(key, claimID, f.Outcome) {
		j.addLine(now, Line{Key: key, Claim: claimID, Outcome: f.Outcome})
	}
}

// recordOutcome records an outcome and reports whether the state changed; only the claimant's first report counts.
func (j *Journal) recordOutcome(key, claimID id, o Outcome) bool {
	state, found := j.keys[key]
	if !found || state.claimID != claimID || state.phase > granted {
		return false
	}
	switch o {
	case Completed:
		state.phase = completed
	case Unknown:
		state.phase = unknown
	case NotRun:
		state.phase = released
	default:
		return false
	}
	j.keys[key] = state
	return true
}

func (j *Journal) fence() []Action {
	var actions []Action
	for _, a := range append(j.inFlight, j.waiting...) {
		actions = append(actions, Reject{a.ticket, ReasonNotHolder})
	}
	j.inFlight, j.waiting, j.unwritten, j.writing, j.fenced = nil, nil, nil, false, true
	return actions
}

// expire drops segments whose claims have exceeded their retention; the open segment is never dropped.
func (j *Journal) expire(now time.Time, actions []Action) []Action {
	for len(j.closed) > 0 && now.Sub(j.closed[0].newest) > j.Retention {
		c := j.closed[0]
		for _, k := range c.keys {
			if state, found := j.keys[k]; found && uint64(state.segment) == c.number && state.phase != pending {
				delete(j.keys, k)
			}
		}
		j.closed = j.closed[1:]
		actions = append(actions, Drop{c.number})
	}
	return actions
}

func (j *Journal) refill(now time.Time) {
	if !j.refilledAt.IsZero() {
		j.tokens = min(writeBurst, j.tokens+now.Sub(j.refilledAt).Seconds()*writeRate)
	}
	j.refilledAt = now
}
