package intake_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/intake"
)

// settings have room for four large messages of 100 bytes and a reserve of 100 bytes.
var settings = intake.Settings{Bytes: 500, Reserve: 100, Small: 10, MaxWaiting: 300, Stall: time.Second, Rate: 20}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// fill begins as many messages of a size as get room.
func fill(t *testing.T, r *intake.Room, size int64, want int) []*intake.Share {
	t.Helper()
	var all []*intake.Share
	for {
		s := &intake.Share{Owner: len(all)}
		if r.Take(s, size) != intake.Granted {
			r.Release(s)
			break
		}
		r.Begin(s, start)
		all = append(all, s)
	}
	if len(all) != want {
		t.Fatalf("messages of %d bytes: got room for %d, want %d", size, len(all), want)
	}
	return all
}

func wantVerdict(t *testing.T, what string, got, want intake.Verdict) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got verdict %d, want %d", what, got, want)
	}
}

func wantOwners(t *testing.T, what string, got []*intake.Share, want ...any) {
	t.Helper()
	var owners []any
	for _, s := range got {
		owners = append(owners, s.Owner)
	}
	if !slices.Equal(owners, want) {
		t.Errorf("%s: got %v, want %v", what, owners, want)
	}
}

// Guards against large messages that take the room of small ones, and against small ones that pass nothing on once they are released.
func TestReserveIsForSmallMessages(t *testing.T) {
	r := &intake.Room{Settings: settings}
	large := fill(t, r, 100, 4)
	small := fill(t, r, 10, 10)
	waiting := &intake.Share{Owner: "large"}
	wantVerdict(t, "fifth large message", r.Take(waiting, 100), intake.Waits)
	for _, s := range small {
		r.Release(s)
	}
	wantOwners(t, "resumed by the reserve", r.Resumed())
	r.Release(large[2])
	wantOwners(t, "resumed by a large message", r.Resumed(), "large")
}

// Guards against messages that wait without a bound, and against one that can never get room.
func TestWaitingIsBounded(t *testing.T) {
	r := &intake.Room{Settings: settings}
	held := fill(t, r, 100, 4)
	var waiting []*intake.Share
	for i := range 3 {
		s := &intake.Share{Owner: i}
		wantVerdict(t, "waiting message", r.Take(s, 100), intake.Waits)
		waiting = append(waiting, s)
	}
	wantVerdict(t, "message beyond those", r.Take(&intake.Share{}, 100), intake.Refused)
	r.Withdraw(waiting[0])
	r.Release(held[0])
	wantOwners(t, "resumed in order", r.Resumed(), 1)
	for _, s := range append(held, waiting...) {
		r.Release(s)
	}
	if r.Held() != 0 || r.Waiting() {
		t.Errorf("room after all were released: got %d bytes held, waiting %v, want none", r.Held(), r.Waiting())
	}
	huge := &intake.Share{}
	wantVerdict(t, "message larger than the room, alone", r.Take(huge, 10_000), intake.Granted)
	if got, want := huge.Held(), settings.Bytes-settings.Reserve; got != want {
		t.Errorf("message larger than the room: got %d bytes held, want %d", got, want)
	}
}

// Guards against a crowd of unfinished messages that keeps its room while others wait.
func TestStalledMessageGivesWay(t *testing.T) {
	r := &intake.Room{Settings: settings}
	held := fill(t, r, 100, 4)
	now := after(3 * time.Second)
	r.Progress(held[0], 99, after(100*time.Millisecond))
	r.Progress(held[1], 99, after(2500*time.Millisecond))
	r.Complete(held[2])
	r.Progress(held[3], 3, after(2900*time.Millisecond))
	wantOwners(t, "without a waiting message", r.Overdue(now))
	wantVerdict(t, "ordinary message", r.Take(&intake.Share{Owner: "ordinary"}, 100), intake.Waits)
	wantOwners(t, "stalled for longest", r.Overdue(now), 0)
	wantOwners(t, "once room is promised", r.Overdue(now))
	wantVerdict(t, "growth of the one that gives way", r.Take(held[0], 200), intake.Refused)
	r.Release(held[0])
	wantOwners(t, "resumed", r.Resumed(), "ordinary")
	wantVerdict(t, "second ordinary message", r.Take(&intake.Share{Owner: "second"}, 100), intake.Waits)
	wantOwners(t, "arrives byte by byte", r.Overdue(now), 3)
	r.Release(held[3])
	wantVerdict(t, "third ordinary message", r.Take(&intake.Share{Owner: "third"}, 100), intake.Waits)
	wantOwners(t, "those that arrive in time and those that are whole", r.Overdue(now))
}

// Guards against a slow honest client that is taken for a hostile one: all bodies that the smallest machine holds share a link of 10 Mbit/s, and
// one more waits.
func TestMessagesThatShareTheSlowestLinkKeepTheirRoom(t *testing.T) {
	const (
		body = 256 << 10
		room = 184 << 20 / 10
		link = 10_000_000 / 8
		tick = 50 * time.Millisecond
	)
	s := intake.Settings{Bytes: room, Reserve: room / 4, Small: 16 << 10, MaxWaiting: room, Stall: time.Second, Rate: link / (room / body * 4)}
	r := &intake.Room{Settings: s}
	all := fill(t, r, body, room/4*3/body)
	wantVerdict(t, "waiting body", r.Take(&intake.Share{}, body), intake.Waits)
	part := int64(link) * int64(tick) / int64(time.Second) / int64(len(all))
	for at := tick; all[0].Received() < body; at += tick {
		for _, share := range all {
			r.Progress(share, part, after(at))
		}
		if got := r.Overdue(after(at + tick)); len(got) > 0 {
			t.Fatalf("after %v with %d of %d bytes: got %d bodies told to give way, want none", at, all[0].Received(), body, len(got))
		}
	}
}

// Guards against a message that gives way because the process itself kept it from being read.
func TestExtendedMessageKeepsItsRoom(t *testing.T) {
	r := &intake.Room{Settings: settings}
	for _, s := range fill(t, r, 100, 4) {
		r.Extend(s, 5*time.Second)
	}
	wantVerdict(t, "waiting message", r.Take(&intake.Share{}, 100), intake.Waits)
	wantOwners(t, "within the extended time", r.Overdue(after(5*time.Second)))
	wantOwners(t, "after it", r.Overdue(after(7*time.Second)), 0)
}

// Guards against room that is lost or given twice, whatever order messages begin, grow, complete, give way and end in.
func TestRoomNeverExceedsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &intake.Room{Settings: settings}
		var shares []*intake.Share
		waiting := map[*intake.Share]bool{}
		begun := map[*intake.Share]bool{}
		now := start
		take := func(s *intake.Share, size int64) {
			if verdict := r.Take(s, size); verdict == intake.Waits {
				waiting[s] = true
			}
			if !begun[s] && !waiting[s] {
				r.Begin(s, now)
				begun[s] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				s := &intake.Share{}
				shares = append(shares, s)
				take(s, rapid.Int64Range(1, 600).Draw(t, "size"))
			},
			"grow": func(t *rapid.T) {
				if len(shares) == 0 {
					t.Skip("no message")
				}
				if s := rapid.SampledFrom(shares).Draw(t, "message"); begun[s] && !waiting[s] {
					take(s, s.Held()+rapid.Int64Range(1, 200).Draw(t, "size"))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				r.Overdue(now)
			},
			"end": func(t *rapid.T) {
				if len(shares) == 0 {
					t.Skip("no message")
				}
				i := rapid.IntRange(0, len(shares)-1).Draw(t, "message")
				r.Release(shares[i])
				delete(waiting, shares[i])
				shares = append(shares[:i], shares[i+1:]...)
			},
			"": func(t *rapid.T) {
				for _, s := range r.Resumed() {
					delete(waiting, s)
					if !begun[s] {
						r.Begin(s, now)
						begun[s] = true
					}
				}
				var held int64
				for _, s := range shares {
					held += s.Held()
				}
				if held != r.Held() || held > settings.Bytes {
					t.Fatalf("bytes held: got %d of messages and %d in all, want the same and at most %d", held, r.Held(), settings.Bytes)
				}
				if r.Waiting() != (len(waiting) > 0) {
					t.Fatalf("waiting: got %v, want %d messages", r.Waiting(), len(waiting))
				}
			},
		})
	})
}
