package intake

import "time"

// Settings are the bounds of a room. All are set.
type Settings struct {
	// Bytes is the room for all messages, and Reserve the part of it that only small messages may use.
	Bytes, Reserve int64
	// Small is the size up to which a message is small, in bytes.
	Small int64
	// MaxWaiting bounds the bytes for which messages wait.
	MaxWaiting int64
	// Stall is the time without a byte after which a message gives its room up to one that waits.
	Stall time.Duration
	// Rate is the number of bytes per second below which a message gives its room up to one that waits, counted after Stall.
	Rate int64
}

// Share is the room of one message. Its zero value holds none.
type Share struct {
	// Owner is whoever carries the decisions about the share out.
	Owner any

	// held, wanted and received are numbers of bytes; wanted is 0 unless the share waits.
	held, wanted, received int64
	began, progressed      time.Time
	reading, leaving       bool
	// place is that among the shares that are being read, or among those that wait.
	place node[Share]
}

// Held returns the bytes that the share holds.
func (s *Share) Held() int64 { return s.held }

// Received returns the bytes that have arrived.
func (s *Share) Received() int64 { return s.received }

// Leaving reports whether the share was told to give its room up.
func (s *Share) Leaving() bool { return s.leaving }

// Verdict is the answer to a request for room.
type Verdict int

// The verdicts.
const (
	// Granted means that the share holds what it asked for.
	Granted Verdict = iota
	// Waits means that the share is in Resumed later, unless Withdraw ends its wait.
	Waits
	// Refused means that the share gets no room: it was told to give up what it has, or too much waits.
	Refused
)

// Room holds messages up to a number of bytes. It is not safe for concurrent use.
type Room struct {
	Settings Settings

	// held is what all messages hold, large the part of it that large ones hold; leaving and leavingLarge are the parts of these that were told
	// to give their room up. All are in bytes, as is waitingBytes, which is what waiting messages lack.
	held, large, leaving, leavingLarge, waitingBytes int64
	// reading holds the messages that are being read, waiting those that wait for room. One that is being read and waits is in waiting only.
	reading, waiting list[Share]
	resumed          []*Share
}

// Held returns the bytes that all messages hold.
func (r *Room) Held() int64 { return r.held }

// Waiting reports whether a message waits for room.
func (r *Room) Waiting() bool { return r.waiting.first != nil }

// Begin adds a message that is being read from now on.
func (r *Room) Begin(s *Share, now time.Time) {
	s.began, s.progressed, s.reading = now, now, true
	r.reading.add(&s.place, s)
}

// Take asks for room so that the share holds a number of bytes in all. A share that could never get it is given what all large messages may
// hold, so that it is served alone.
func (r *Room) Take(s *Share, bytes int64) Verdict {
	bytes = min(bytes, r.limit(bytes))
	if s.leaving {
		return Refused
	}
	if bytes <= s.held {
		return Granted
	}
	if r.fits(s, bytes) && (r.small(bytes) || !r.Waiting()) {
		r.charge(s, bytes)
		return Granted
	}
	if r.waitingBytes+bytes-s.held > r.Settings.MaxWaiting {
		return Refused
	}
	r.removeReading(s)
	s.wanted = bytes
	r.waitingBytes += bytes - s.held
	r.waiting.add(&s.place, s)
	return Waits
}

func (r *Room) small(bytes int64) bool { return bytes <= r.Settings.Small }

// limit is the room that messages of a size share.
func (r *Room) limit(bytes int64) int64 {
	if r.small(bytes) {
		return r.Settings.Bytes
	}
	return r.Settings.Bytes - r.Settings.Reserve
}

// fits reports whether a share can hold a number of bytes in all.
func (r *Room) fits(s *Share, bytes int64) bool {
	if r.held-s.held+bytes > r.Settings.Bytes {
		return false
	}
	return r.small(bytes) || r.large-r.largeOf(s.held)+bytes <= r.limit(bytes)
}

func (r *Room) largeOf(bytes int64) int64 {
	if r.small(bytes) {
		return 0
	}
	return bytes
}

func (r *Room) charge(s *Share, bytes int64) {
	r.held += bytes - s.held
	r.large += r.largeOf(bytes) - r.largeOf(s.held)
	s.held = bytes
}

// Progress notes that bytes of a message have arrived.
func (r *Room) Progress(s *Share, bytes int64, now time.Time) {
	s.received += bytes
	s.progressed = now
}

// Extend allows a message more time, since it was kept from being read for so long.
func (r *Room) Extend(s *Share, by time.Duration) {
	s.began, s.progressed = s.began.Add(by), s.progressed.Add(by)
}

// Complete notes that a message has arrived whole; it is not told to give its room up any more.
func (r *Room) Complete(s *Share) {
	r.removeReading(s)
	s.reading = false
}

// Withdraw ends the wait of a share, which keeps what it held before.
func (r *Room) Withdraw(s *Share) {
	if s.wanted == 0 {
		return
	}
	r.endWait(s)
	r.resume()
}

// Release returns all room of a share.
func (r *Room) Release(s *Share) {
	if s.wanted != 0 {
		r.endWait(s)
	}
	r.Complete(s)
	if s.leaving {
		r.leaving -= s.held
		r.leavingLarge -= r.largeOf(s.held)
		s.leaving = false
	}
	r.charge(s, 0)
	r.resume()
}

func (r *Room) endWait(s *Share) {
	r.waiting.remove(&s.place)
	r.waitingBytes -= s.wanted - s.held
	s.wanted = 0
	if s.reading {
		r.reading.add(&s.place, s)
	}
}

// removeReading takes a share out of those that are being read, if it is among them.
func (r *Room) removeReading(s *Share) {
	if s.reading && s.wanted == 0 {
		r.reading.remove(&s.place)
	}
}

// resume grants room to the shares that wait, in their order. A large one that does not fit lets no other large one pass it.
func (r *Room) resume() {
	blocked := false
	for p := r.waiting.first; p != nil; {
		s, next := p.element, p.next
		wanted := s.wanted
		large := !r.small(wanted)
		if r.fits(s, wanted) && (!large || !blocked) {
			r.endWait(s)
			r.charge(s, wanted)
			r.resumed = append(r.resumed, s)
		} else {
			blocked = blocked || large
		}
		p = next
	}
}

// Resumed returns the shares whose wait has ended with room since the last call.
func (r *Room) Resumed() []*Share {
	resumed := r.resumed
	r.resumed = nil
	return resumed
}

// Overdue returns the shares that have to give their room up to those that wait: messages that have stalled or arrive too slowly, the one that
// is furthest behind first, and no more of them than the first waiting one needs.
func (r *Room) Overdue(now time.Time) []*Share {
	if !r.Waiting() {
		return nil
	}
	first := r.waiting.first.element
	var overdue []*Share
	for {
		large := !r.small(first.wanted) && r.large-r.leavingLarge-r.largeOf(first.held)+first.wanted > r.limit(first.wanted)
		if !large && r.held-r.leaving-first.held+first.wanted <= r.Settings.Bytes {
			return overdue
		}
		s := r.furthestBehind(large, now)
		if s == nil {
			return overdue
		}
		s.leaving = true
		r.leaving += s.held
		r.leavingLarge += r.largeOf(s.held)
		overdue = append(overdue, s)
	}
}

// furthestBehind returns the message that is furthest behind, or nil if none is too far; only large ones if large is true.
func (r *Room) furthestBehind(large bool, now time.Time) *Share {
	var last *Share
	var most time.Duration
	for p := r.reading.first; p != nil; p = p.next {
		s := p.element
		if s.leaving || s.held == 0 || large && r.small(s.held) {
			continue
		}
		if behind := r.behind(s, now); behind > most {
			last, most = s, behind
		}
	}
	return last
}

// behind returns the time for which a message has been without progress, or by which it is behind the lowest rate; 0 if neither is too long.
func (r *Room) behind(s *Share, now time.Time) time.Duration {
	quiet := now.Sub(s.progressed)
	if quiet < r.Settings.Stall {
		quiet = 0
	}
	expected := time.Duration(float64(s.received) / float64(r.Settings.Rate) * float64(time.Second))
	return max(quiet, now.Sub(s.began)-r.Settings.Stall-expected, 0)
}
