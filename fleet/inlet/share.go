package inlet

import (
	"context"
	"time"

	"verbenalanding.example/fleet/intake"
)

// Share is the room of a message until its Release.
type Share struct {
	room  *Room
	share intake.Share
	// resumed gets a value when the wait for room ends.
	resumed chan struct{}
	// conn is the connection on which the message arrives; nil for work that needs room.
	conn *Conn
}

// Release returns the room; nil and a second call do nothing.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	s.room.room.Release(&s.share)
	s.room.wakeResumed()
}

// wakeResumed wakes the messages that have got room; the lock must be held.
func (r *Room) wakeResumed() {
	for _, s := range r.room.Resumed() {
		s.Owner.(*Share).resumed <- struct{}{}
	}
}

func (r *Room) newShare(conn *Conn) *Share {
	s := &Share{room: r, conn: conn}
	s.share.Owner = s
	return s
}

// Take returns a share of the room for work that does not depend on a client; ErrNoRoom once the context or WaitLimit ends.
func (r *Room) Take(ctx context.Context, bytes int64) (*Share, error) {
	s := r.newShare(nil)
	if err := s.take(ctx, bytes, time.Time{}); err != nil {
		return nil, err
	}
	return s, nil
}

// take raises what the share holds to a number of bytes, and waits for them if need be. The share is a message that is being read from begin on,
// unless that is zero.
func (s *Share) take(ctx context.Context, bytes int64, begin time.Time) error {
	r := s.room
	r.mu.Lock()
	verdict := r.room.Take(&s.share, bytes)
	if verdict == intake.Granted && !begin.IsZero() {
		r.room.Begin(&s.share, begin)
	}
	if verdict == intake.Waits && s.resumed == nil {
		s.resumed = make(chan struct{}, 1)
	}
	r.mu.Unlock()
	switch verdict {
	case intake.Granted:
		return nil
	case intake.Refused:
		return ErrNoRoom
	case intake.Waits:
	}
	if err := s.await(ctx); err != nil || begin.IsZero() {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Begin(&s.share, time.Now())
	return nil
}

// await waits until the share is resumed. Whoever waits reviews the messages that are being read.
func (s *Share) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.room.WaitLimit)
	defer cancel()
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		s.room.review()
		select {
		case <-s.resumed:
			return nil
		case <-ctx.Done():
			return s.endWait()
		case <-ticker.C:
		}
	}
}

// endWait ends the wait of a share; it returns nil if the share has got room meanwhile.
func (s *Share) endWait() error {
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	select {
	case <-s.resumed:
		return nil
	default:
	}
	s.room.room.Withdraw(&s.share)
	s.room.wakeResumed()
	return ErrNoRoom
}
