package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
)

// fullFixture is a node whose pool's holder, another node, has announced that the pool is full.
type fullFixture struct {
	*takeoverFixture
	node *Node
}

func newFullFixture(t *testing.T) *fullFixture {
	t.Helper()
	f := &fullFixture{takeoverFixture: newTakeoverFixture(t)}
	f.node = f.pool.node
	f.node.View = &View{}
	f.node.Elector.Clock, f.node.Elector.TTL = f.node.Clock.Now, time.Minute
	f.node.Elector.RecordStoreContact()
	f.node.jobLimits.set("cutting", jobLimit{LargestJob: 0})
	return f
}

func (f *fullFixture) refuse(id string, memory int64) (refused bool, answer *httptest.ResponseRecorder) {
	f.t.Helper()
	answer = httptest.NewRecorder()
	log := zerolog.Nop()
	q := movedJob("cutting").Terms
	return f.node.refuseFull(f.ctx, answer, &q, id, memory, &log), answer
}

// Guards against a job that is stored although nobody has memory for it, and against a refusal that does not say that nothing has run or when to return.
func TestJobOfAFullPoolIsRefused(t *testing.T) {
	f := newFullFixture(t)
	refused, answer := f.refuse("00000000000000aa", leastJob)
	if !refused || answer.Code != http.StatusServiceUnavailable {
		t.Fatalf("job: got refused %v with status %d, want a refusal with %d", refused, answer.Code, http.StatusServiceUnavailable)
	}
	var p problem
	if err := json.Unmarshal(answer.Body.Bytes(), &p); err != nil || p.Outcome != "notRun" {
		t.Errorf("body: got %s and %v, want the outcome notRun", answer.Body, err)
	}
	if got := answer.Header().Get("Retry-After"); got != fullRetryAfter {
		t.Errorf("Retry-After: got %q, want %q", got, fullRetryAfter)
	}
	f.node.jobLimits.set("cutting", jobLimit{LargestJob: dispatch.SmallJob})
	if refused, _ := f.refuse("00000000000000aa", dispatch.SmallJob); refused {
		t.Error("small job of a nearly full pool: got refused, want taken")
	}
	if refused, _ := f.refuse("00000000000000aa", dispatch.SmallJob+1); !refused {
		t.Error("large job of a nearly full pool: got taken, want refused")
	}
}

// Guards against a caller that is told that its job was not run although an earlier call has stored it, or may have.
func TestAcceptedJobOfAFullPoolIsNotRefused(t *testing.T) {
	f := newFullFixture(t)
	job := movedJob("cutting")
	accept, err := f.node.acceptJob(job)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.node.Store.Apply(f.ctx, accept); err != nil {
		t.Fatal(err)
	}
	if refused, _ := f.refuse(job.ID, leastJob); refused {
		t.Error("repeat of an accepted job: got refused, want stored as before")
	}
	const unanswered = "00000000000000bb"
	f.node.outlooks.noteUnanswered(unanswered, f.node.Clock.Now())
	if refused, _ := f.refuse(unanswered, leastJob); refused {
		t.Error("repeat of a job whose write was not answered: got refused, want stored as before")
	}
	f.gate.SetClosed(true)
	if refused, _ := f.refuse("00000000000000cc", leastJob); refused {
		t.Error("job while the store does not answer: got refused, want the store's answer awaited")
	}
}

// Guards against nodes that store large jobs without a bound while a pool has no holder that counts them.
func TestLargeJobsWithoutAHolderAreBounded(t *testing.T) {
	f := newFullFixture(t)
	f.node.jobLimits.remove("cutting")
	if got := f.node.largestJob(f.ctx, "cutting"); got != dispatch.AnyJob {
		t.Errorf("pool of which nothing is known: got jobs up to %d bytes, want any", got)
	}
	f.node.uncounted.add("cutting", f.node.keptJobBytes()/uncountedShare)
	if got := f.node.largestJob(f.ctx, "cutting"); got != dispatch.SmallJob {
		t.Errorf("pool without a holder: got jobs up to %d bytes, want %d", got, dispatch.SmallJob)
	}
	f.node.uncounted.clear("cutting")
	if got := f.node.largestJob(f.ctx, "cutting"); got != dispatch.AnyJob {
		t.Errorf("pool whose holder has answered: got jobs up to %d bytes, want any", got)
	}
}

// Guards against an announcement that stays in the store once the pool has room, and against one of a holder that was replaced.
func TestLimitIsAnnounced(t *testing.T) {
	f := newFullFixture(t)
	key := leadership.AnnouncementPrefix + "cutting"
	stored := func() (limit jobLimit, err error) {
		e, err := f.node.Store.Get(f.ctx, key)
		if err == nil {
			err = json.Unmarshal(e.Value, &limit)
		}
		return limit, err
	}
	f.node.jobLimits.remove("cutting")
	f.pool.scheduler.Settings.KeptBytes = 1
	f.pool.scheduler.AddJob(movedJob("cutting"), nil, false, f.node.Clock.Now())
	if err := f.pool.announce(f.ctx); err != nil {
		t.Fatalf("full pool: got %v, want it announced", err)
	}
	if limit, err := stored(); err != nil || limit.LargestJob != 0 || f.pool.announcementDiffers() {
		t.Errorf("full pool: got %+v and %v announced, want no job taken", limit, err)
	}
	t.Run("successor that has not learned of it", func(t *testing.T) {
		f.node.jobLimits.remove("cutting")
		f.pool.scheduler.Settings.KeptBytes = 0
		if err := f.pool.announce(f.ctx); !errors.Is(err, store.ErrConflict) {
			t.Errorf("first attempt: got %v, want %v", err, store.ErrConflict)
		}
		if err := f.pool.announce(f.ctx); err != nil {
			t.Errorf("second attempt: got %v, want the key deleted", err)
		}
		if _, err := stored(); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("pool with room: got %v, want no key", err)
		}
	})
	t.Run("replaced holder", func(t *testing.T) {
		f.write(store.Write{Key: leadership.Prefix + "cutting", Value: []byte("{}")})
		f.pool.scheduler.Settings.KeptBytes = 1
		if err := f.pool.announce(f.ctx); !errors.Is(err, store.ErrConflict) {
			t.Errorf("attempt: got %v, want %v", err, store.ErrConflict)
		}
		if _, err := stored(); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("key: got %v, want none", err)
		}
	})
}

// Guards against a list of earlier steps that takes more memory than there are steps.
func TestEarlierStepsCountOnce(t *testing.T) {
	job, err := platform.DecodeJob([]byte(`{"Spec":"a","Steps":[{"Count":1},{"Count":1},{"Count":1,"After":[1,0,1,0,0,1]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := job.Steps[2].After, []int{0, 1}; !slices.Equal(got, want) {
		t.Errorf("steps before the last one: got %v, want %v", got, want)
	}
}
