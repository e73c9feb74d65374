package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/store"
)

// backlogStore is a store with one key that is written once a second. After an outage an answer to a watch takes too long if it has many changes.
type backlogStore struct {
	store.Store
	began time.Time
}

const (
	outageBegin = 5 * time.Second
	outageEnd   = 65 * time.Second
	// maxTransferred is the largest number of changes that are transferred in the time of a call, which is callTime.
	maxTransferred = 20
	callTime       = 3 * time.Second
)

func (s *backlogStore) revision() store.Revision {
	return store.Revision(time.Since(s.began)/time.Second) + 1
}

func (s *backlogStore) call() error {
	if at := time.Since(s.began); at > outageBegin && at < outageEnd {
		time.Sleep(callTime)
		return store.ErrUnavailable
	}
	return nil
}

func (s *backlogStore) List(context.Context, string, string, int) (store.Page, error) {
	r := s.revision()
	return store.Page{Entries: []store.Entry{{Key: "p/a", Value: []byte("1"), Revision: r}}, Revision: r}, s.call()
}

func (s *backlogStore) Watch(_ context.Context, _ string, after store.Revision, _ time.Duration) (store.Batch, error) {
	time.Sleep(time.Second)
	r := s.revision()
	if r-after > maxTransferred {
		time.Sleep(callTime)
		return store.Batch{}, store.ErrUnavailable
	}
	return store.Batch{Events: []store.Event{{Entry: store.Entry{Key: "p/a", Value: []byte("1"), Revision: r}}}, Revision: r}, s.call()
}

// Guards against a copy that stays old after a long outage, because the answer with all missed changes takes longer than a call may.
func TestMirrorReadsAgainAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), outageEnd+20*time.Second)
		defer cancel()
		s := &backlogStore{began: time.Now()}
		m := mirror.Mirror[int]{Store: s, Prefix: "p/"}
		var caughtUp time.Duration
		m.OnChange = func() {
			if at := time.Since(s.began); caughtUp == 0 && at > outageEnd && m.Revision()+2 > s.revision() {
				caughtUp = at - outageEnd
			}
		}
		check.NoError(t, m.Run(ctx))
		// 10 s is the platform's time limit for a change to be in force.
		check.True(t, "in force within 10 s of the outage", caughtUp > 0 && caughtUp < 10*time.Second)
	})
}
