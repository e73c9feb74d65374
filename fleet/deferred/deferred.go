package deferred

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// Shards is the number of shards of the deferred work; each has its own holder.
	Shards = 8
	// MaxRecord is the largest size in bytes of a record in the store.
	MaxRecord = 256 << 10
	// MaxAnswer is the largest answer in bytes that is kept for status reads; larger ones are dropped.
	MaxAnswer = 64 << 10
	// callTimeout is longer than the 2 s that a slow store takes to answer.
	callTimeout = 5 * time.Second
)

var (
	// ErrFull is returned when the backlog of the service has reached its limit; the work was not recorded.
	ErrFull = errors.New("backlog of deferred work is full")
	// ErrStoreDown is returned when the store does not answer; the work was not recorded.
	ErrStoreDown = errors.New("deferred work cannot be recorded")
	// ErrUnknown is returned when it is not known whether the work was recorded; a status read with its id shows it.
	ErrUnknown = errors.New("not known whether the deferred work was recorded")
	// ErrMismatch is returned when work with the same idempotency key and another body is already recorded.
	ErrMismatch = errors.New("idempotency key was used with another body")
	// ErrNotFound is returned when no work with the id is recorded.
	ErrNotFound = errors.New("no deferred work with this id")
)

// State is the state of deferred work.
type State string

// The states of deferred work.
const (
	// Waiting work has not run, or is repeatable work whose last attempt did not complete.
	Waiting State = "waiting"
	// Running work is non-repeatable work that was marked before its dispatch.
	Running State = "running"
	// Completed work got a complete response.
	Completed State = "completed"
	// Unknown work may have run once and will not run again.
	Unknown State = "unknown"
	// Withdrawn work was not acknowledged to its caller; it never runs.
	Withdrawn State = "withdrawn"
	// Duplicate work was not run because another request holds its idempotency key.
	Duplicate State = "duplicate"
)

// Work is a deferrable request.
type Work struct {
	ID          string            `json:"id"`
	Service     string            `json:"service"`
	Class       declaration.Class `json:"class"`
	Team        string            `json:"team,omitempty"`
	Key         string            `json:"key,omitempty"`
	ContentType string            `json:"contentType,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	BodyDigest  string            `json:"bodyDigest"`
	Repeatable  bool              `json:"repeatable"`
	// Deadline is the time that one attempt may take.
	Deadline time.Duration `json:"deadline"`
	Accepted time.Time     `json:"accepted"`
}

// Record is deferred work as it is stored.
type Record struct {
	Work
	State    State        `json:"state"`
	Epoch    record.Epoch `json:"epoch"`
	Attempts int          `json:"attempts,omitempty"`
	// Mark identifies the call of Holder.Run that marked the work before its dispatch.
	Mark       string    `json:"mark,omitempty"`
	Started    time.Time `json:"started,omitzero"`
	Finished   time.Time `json:"finished,omitzero"`
	Reason     string    `json:"reason,omitempty"`
	Status     int       `json:"status,omitempty"`
	AnswerType string    `json:"answerType,omitempty"`
	Answer     []byte    `json:"answer,omitempty"`
	// AnswerDropped is true if the answer was dropped because it was larger than MaxAnswer.
	AnswerDropped bool `json:"answerDropped,omitempty"`
}

// Result is how an attempt ended.
type Result struct {
	// State is Waiting when the attempt was certainly not run, Unknown, Completed or Duplicate.
	State      State
	Reason     string
	Status     int
	AnswerType string
	Answer     []byte
}

// Executor runs one attempt of deferred work; attempt counts from 1.
type Executor interface {
	Execute(ctx context.Context, w Work, attempt int) Result
}

// NewID returns the id of work with an idempotency key; the same key always gets the same id.
func NewID(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}

// ShardOf returns the shard of an id, from 0 to Shards-1.
func ShardOf(id string) int {
	sum := sha256.Sum256([]byte(id))
	return int(sum[0]) % Shards
}

// Prefix returns the prefix of the store keys of a shard.
func Prefix(shard int) string { return fmt.Sprintf("%s%d/", record.DeferredPrefix, shard) }

// StoreKey returns the store key of work.
func StoreKey(id string) string { return Prefix(ShardOf(id)) + id }

// Lookup reads the record of work, or returns ErrNotFound.
func Lookup(ctx context.Context, s store.Store, id string) (Record, error) {
	r, _, err := record.Load[Record](ctx, s, StoreKey(id))
	if errors.Is(err, store.ErrNotFound) || r.State == Withdrawn {
		return Record{}, fmt.Errorf("deferred work %s: %w", id, ErrNotFound)
	}
	return r, err
}

// backlogName is the name of the shard's backlog record; ids are 24 characters long and never equal to it.
const backlogName = "backlog"

// backlog is the amount of waiting and running work of each service in a shard, as the holder last counted it.
type backlog struct {
	Epoch  record.Epoch   `json:"epoch"`
	Counts map[string]int `json:"counts"`
}

func decode(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, err
}
