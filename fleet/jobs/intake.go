package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

var (
	// ErrRefused is wrapped by every refusal; the job is not recorded and never runs.
	ErrRefused = errors.New("job refused")
	// ErrInvalid is returned for a job with an invalid field, such as a negative or overflowing size.
	ErrInvalid = fmt.Errorf("%w: invalid job", ErrRefused)
	// ErrTooLarge is returned for a job that is larger than any worker of its pool.
	ErrTooLarge = fmt.Errorf("%w: larger than any worker", ErrRefused)
	// ErrQuota is returned for a job above its team's quota, and for a team whose quota exceeds the fleet's capacity.
	ErrQuota = fmt.Errorf("%w: quota", ErrRefused)
	// ErrDuplicate is returned when another job with the same id exists.
	ErrDuplicate = fmt.Errorf("%w: another job has this id", ErrRefused)
	// ErrNotSent is returned when the submission was never sent to the store.
	ErrNotSent = fmt.Errorf("%w: store not asked", ErrRefused)
	// ErrUnknownOutcome is returned when the store did not confirm whether the job was recorded; the same submission may be
	// sent again.
	ErrUnknownOutcome = errors.New("outcome of the submission is unknown; submit again with the same id")
)

// maxID limits the length of a job's id, which is part of a store key and of task ids.
const maxID = 128

// maxArgument limits the argument in bytes to keep job records small.
const maxArgument = 64 << 10

// Intake accepts jobs on any entry instance and records them in the store, from which the shard's holder reads them.
type Intake struct {
	Store         store.Store
	Configuration func() (declaration.Set, uint64)
	Members       func() []record.Instance
	Now           func() time.Time
	// Shards is the number of shards; DefaultShards when 0.
	Shards int
}

// Submit records a job and returns the record. An error that wraps ErrRefused means that the job is not recorded and
// never runs; ErrUnknownOutcome means that it may have been recorded. The same submission may be sent again.
func (i *Intake) Submit(ctx context.Context, j record.Job) (record.Job, error) {
	now := time.Now
	if i.Now != nil {
		now = i.Now
	}
	shards := i.shards()
	set, revision := i.Configuration()
	if err := i.validate(set, j); err != nil {
		return record.Job{}, fmt.Errorf("submit job %q: %w", j.ID, err)
	}
	j.State, j.Accepted = accepted, now()
	j.Worker, j.FormerWorkers, j.Attempt, j.Epoch, j.Failures, j.Reserved = "", nil, 0, 0, 0, platform.Resources{}
	j.Started, j.Finished = time.Time{}, time.Time{}
	j.Reason = record.Reason{Rule: ruleAccepted, Detail: "recorded; the shard's holder places it", ConfigRevision: revision, At: j.Accepted}
	encoded, err := json.Marshal(j)
	if err != nil {
		return record.Job{}, fmt.Errorf("submit job %q: %w: %w", j.ID, ErrInvalid, err)
	}
	key := Key(ShardOf(j.Pool, shards), j.ID)
	sent := false
	// A repeated create shows whether the first one took effect, provided that it also prevents a delayed first one from
	// taking effect later.
	for range 3 {
		_, err = i.Store.Put(ctx, store.PutRequest{Key: key, Value: encoded})
		switch {
		case err == nil:
			return j, nil
		case errors.Is(err, store.ErrConflict):
			return i.resolveConflict(ctx, key, j)
		case isUnanswered(err):
			sent = true
		case !sent:
			return record.Job{}, fmt.Errorf("submit job %q: %w: %w", j.ID, ErrNotSent, err)
		}
	}
	return record.Job{}, fmt.Errorf("submit job %q: %w: %w", j.ID, ErrUnknownOutcome, err)
}

// resolveConflict compares the job recorded under the key with the submitted one.
func (i *Intake) resolveConflict(ctx context.Context, key string, j record.Job) (record.Job, error) {
	stored, _, err := record.Load[record.Job](ctx, i.Store, key)
	if err != nil {
		return record.Job{}, fmt.Errorf("submit job %q: %w: %w", j.ID, ErrUnknownOutcome, err)
	}
	if !sameSubmission(stored, j) {
		return record.Job{}, fmt.Errorf("submit job %q: %w", j.ID, ErrDuplicate)
	}
	return stored, nil
}

// sameSubmission reports whether two jobs have the same declared fields.
func sameSubmission(a, b record.Job) bool {
	return a.ID == b.ID && a.Team == b.Team && a.Pool == b.Pool && a.Class == b.Class && a.Declared == b.Declared &&
		a.RunTime == b.RunTime && a.Deadline.Equal(b.Deadline) && a.Repeatable == b.Repeatable && a.Argument == b.Argument &&
		a.Kind == b.Kind && a.Checkpoints == b.Checkpoints
}

func (i *Intake) shards() int { return cmp.Or(i.Shards, DefaultShards) }

func (i *Intake) validate(set declaration.Set, j record.Job) error {
	switch {
	case j.ID == "" || len(j.ID) > maxID || strings.ContainsAny(j.ID, "/#"):
		return fmt.Errorf("%w: id must have 1 to %d characters without / and #", ErrInvalid, maxID)
	case !placement.ValidSize(j.Declared):
		return fmt.Errorf("%w: size %+v is negative, zero or overflows", ErrInvalid, j.Declared)
	case j.RunTime < 0:
		return fmt.Errorf("%w: run time %v is negative", ErrInvalid, j.RunTime)
	case j.Kind == "":
		return fmt.Errorf("%w: kind is missing", ErrInvalid)
	case len(j.Argument) > maxArgument:
		return fmt.Errorf("%w: argument is longer than %d bytes", ErrInvalid, maxArgument)
	case !knownClass(j.Class):
		return fmt.Errorf("%w: class %q is not one of %v", ErrInvalid, j.Class, declaration.Classes)
	}
	if _, ok := set.Pools[j.Pool]; !ok {
		return fmt.Errorf("%w: pool %q does not exist", ErrInvalid, j.Pool)
	}
	team, ok := set.Teams[j.Team]
	if !ok {
		return fmt.Errorf("%w: team %q does not exist", ErrInvalid, j.Team)
	}
	return i.validateSizes(j, quotaOf(team))
}

func (i *Intake) validateSizes(j record.Job, quota platform.Resources) error {
	var fleet, largest platform.Resources
	fitsWorker, hasWorkers := false, false
	for _, m := range i.Members() {
		fleet = sum(fleet, m.Capacity)
		if m.Pool != j.Pool {
			continue
		}
		hasWorkers = true
		largest = m.Capacity
		fitsWorker = fitsWorker || fits(j.Declared, m.Capacity)
	}
	switch {
	case hasWorkers && !fitsWorker:
		return fmt.Errorf("%w: needs %s, a worker of pool %s has %s", ErrTooLarge, placement.Format(j.Declared), j.Pool, placement.Format(largest))
	case !fits(j.Declared, quota):
		return fmt.Errorf("%w: needs %s, the quota of team %s is %s", ErrQuota, placement.Format(j.Declared), j.Team, placement.Format(quota))
	case hasWorkers && !fits(quota, fleet):
		return fmt.Errorf("%w: the quota of team %s is %s and the fleet has %s", ErrQuota, j.Team, placement.Format(quota), placement.Format(fleet))
	}
	return nil
}

func knownClass(class string) bool {
	for _, c := range declaration.Classes {
		if class == string(c) {
			return true
		}
	}
	return false
}

func quotaOf(t declaration.Team) platform.Resources {
	return platform.Resources{MilliCores: t.MilliCores, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators}
}

func sum(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores: a.MilliCores + b.MilliCores, MemoryBytes: a.MemoryBytes + b.MemoryBytes, Accelerators: a.Accelerators + b.Accelerators,
	}
}

func fits(a, b platform.Resources) bool {
	return a.MilliCores <= b.MilliCores && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}
