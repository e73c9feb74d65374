package record

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/store"
)

// ErrFenced is returned when a record already has a higher epoch than the writer's.
var ErrFenced = errors.New("record holds a higher epoch")

// Prefixes of the keys in the store.
const (
	ChangePrefix   = "config/change/"
	SnapshotPrefix = "config/snapshot/"
	EntryPrefix    = "entry/"
	DutyPrefix     = "duty/"
	InstancePrefix = "instance/"
	BudgetPrefix   = "budget/"
	WavePrefix     = "wave/"
	MovePrefix     = "move/"
	JobPrefix      = "job/"
	TeamPrefix     = "team/"
	ClaimPrefix    = "claim/"
	DeferredPrefix = "deferred/"
	ArchivePrefix  = "archive/"
)

// LiveSuffix ends the key under EntryPrefix that is bound to the lease of a live entry instance; the key without it is
// the registration, which stays until the instance leaves or the platform lists it as gone.
const LiveSuffix = "/live"

// Members holds the entry instances in the records under EntryPrefix, by id.
type Members struct {
	Registered map[string]Entry
	Live       map[string]Entry
}

// MembersOf splits the records under EntryPrefix, keyed without that prefix, into registrations and live keys.
func MembersOf(all map[string]Entry) Members {
	m := Members{Registered: map[string]Entry{}, Live: map[string]Entry{}}
	for key, e := range all {
		if id, live := strings.CutSuffix(key, LiveSuffix); live {
			m.Live[id] = e
		} else {
			m.Registered[key] = e
		}
	}
	return m
}

// Epoch is a fencing epoch; it is incremented each time a duty gets a new holder.
type Epoch uint64

// Entry is the registration of an entry instance.
type Entry struct {
	ID         string            `json:"id"`
	PeerAddr   netip.AddrPort    `json:"peerAddr"`
	CallerAddr netip.AddrPort    `json:"callerAddr"`
	Location   platform.Location `json:"location"`
	Started    time.Time         `json:"started"`
}

// Duty names the holder of a duty.
type Duty struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Epoch  Epoch  `json:"epoch"`
}

// Reason explains a decision: the rule, its figures and the configuration revision.
type Reason struct {
	Rule           string    `json:"rule"`
	Detail         string    `json:"detail"`
	ConfigRevision uint64    `json:"configRevision"`
	At             time.Time `json:"at"`
}

// Instance is the state of an instance, which is a member of exactly one pool.
type Instance struct {
	ID         string             `json:"id"`
	Pool       string             `json:"pool"`
	State      string             `json:"state"`
	Addr       netip.AddrPort     `json:"addr"`
	Location   platform.Location  `json:"location"`
	Capacity   platform.Resources `json:"capacity"`
	Epoch      Epoch              `json:"epoch"`
	Drain      uint64             `json:"drain"`
	Wave       string             `json:"wave,omitempty"`
	Command    string             `json:"command,omitempty"`
	BootCount  int                `json:"bootCount"`
	Since      time.Time          `json:"since"`
	Maintained time.Time          `json:"maintained"`
	Attempts   int                `json:"attempts,omitempty"`
	// StopPurpose is the purpose of a planned stop: wave, move or retire.
	StopPurpose string `json:"stop,omitempty"`
	// Round is the wave's round that the stop belongs to.
	Round uint64 `json:"round,omitempty"`
	// CommandAcknowledged is true once the platform has acknowledged Command.
	CommandAcknowledged bool `json:"commanded,omitempty"`
	// BootCountBefore is the boot count before the command.
	BootCountBefore int `json:"bootBefore,omitempty"`
	// MoveTo is the target pool of a move.
	MoveTo string `json:"moveTo,omitempty"`
	// ArrivedFrom is the pool that the instance left and whose budgets cover it until it is in service again.
	ArrivedFrom string `json:"arrivedFrom,omitempty"`
	// DrainSince is when the planned stop began.
	DrainSince time.Time `json:"drainSince"`
	// RebootDuration is how long the last commanded reboot took.
	RebootDuration time.Duration `json:"rebootTook,omitempty"`
	// Firmware names the wave and round of the last reboot.
	Firmware string `json:"firmware,omitempty"`
	Reason   Reason `json:"reason"`
}

// Reservation is the right to stop one instance.
type Reservation struct {
	Instance string    `json:"instance"`
	Holder   string    `json:"holder"`
	Epoch    Epoch     `json:"epoch"`
	Since    time.Time `json:"since"`
}

// Budget holds the reservations of an availability budget and the instances that are down unplanned.
type Budget struct {
	Name         string        `json:"name"`
	Epoch        Epoch         `json:"epoch"`
	Reservations []Reservation `json:"reservations"`
	Down         []string      `json:"down"`
	// Holders maps each duty that reserves to the highest epoch of its writers; writers with a lower one are fenced.
	Holders map[string]Epoch `json:"holders,omitempty"`
}

// Failure is an instance that did not return from a wave.
type Failure struct {
	Instance string            `json:"instance"`
	Location platform.Location `json:"location"`
	Firmware string            `json:"firmware,omitempty"`
	At       time.Time         `json:"at"`
}

// Wave is the progress of a maintenance wave.
type Wave struct {
	Name     string    `json:"name"`
	State    string    `json:"state"`
	Epoch    Epoch     `json:"epoch"`
	Round    uint64    `json:"round"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	Done     []string  `json:"done"`
	Active   []string  `json:"active"`
	Failed   []string  `json:"failed"`
	// Failures are the instances that did not return, with the properties that failed instances may have in common.
	Failures []Failure `json:"failures,omitempty"`
	// Since is when the state was entered. Resumed is when the wave was last resumed; failures before it no longer halt the wave.
	Since   time.Time `json:"since"`
	Resumed time.Time `json:"resumed"`
	// Deadline is when the round should be finished, Predicted when it is expected to be; zero times are unknown.
	Deadline  time.Time `json:"deadline"`
	Predicted time.Time `json:"predicted"`
	// LatestStart is the latest time at which the rest of the round can begin and still meet the deadline.
	LatestStart time.Time `json:"latestStart"`
	// Cycles and CycleTime count finished stops and their total duration.
	Cycles    int           `json:"cycles,omitempty"`
	CycleTime time.Duration `json:"cycleTime,omitempty"`
	Reason    Reason        `json:"reason"`
}

// Move is the progress of an instance's move from one pool to another.
type Move struct {
	Instance string    `json:"instance"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	State    string    `json:"state"`
	Epoch    Epoch     `json:"epoch"`
	Since    time.Time `json:"since"`
	Reason   Reason    `json:"reason"`
}

// Job is a job that runs on a worker.
type Job struct {
	ID         string             `json:"id"`
	Team       string             `json:"team"`
	Pool       string             `json:"pool"`
	Class      string             `json:"class"`
	Declared   platform.Resources `json:"declared"`
	RunTime    time.Duration      `json:"runTime"`
	Deadline   time.Time          `json:"deadline"`
	Repeatable bool               `json:"repeatable"`
	Argument   string             `json:"argument,omitempty"`
	Kind       string             `json:"kind"`
	State      string             `json:"state"`
	Worker     string             `json:"worker,omitempty"`
	Epoch      Epoch              `json:"epoch"`
	Accepted   time.Time          `json:"accepted"`
	Started    time.Time          `json:"started"`
	Finished   time.Time          `json:"finished"`
	Failures   int                `json:"failures,omitempty"`
	// Checkpoints is true if the job can save its progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Attempt numbers the starts of the job; it is part of the task's id.
	Attempt int `json:"attempt,omitempty"`
	// FormerWorkers lists the workers that may still run earlier attempts, because the ends of these are unconfirmed.
	FormerWorkers []string `json:"former,omitempty"`
	// Reserved is the reservation of the current attempt.
	Reserved platform.Resources `json:"reserved"`
	Reason   Reason             `json:"reason"`
}

// JobCancel is an accepted cancellation of many jobs, kept as one record.
type JobCancel struct {
	IDs []string  `json:"ids"`
	At  time.Time `json:"at"`
}

// TeamUsage divides a team's quota among the jobs shards.
type TeamUsage struct {
	Team   string           `json:"team"`
	Grants map[string]Grant `json:"grants"`
}

// Grant is the part of a team's quota that one jobs shard may reserve.
type Grant struct {
	Amount platform.Resources `json:"amount"`
	Epoch  Epoch              `json:"epoch"`
}

// Load reads and decodes the record at key, and returns it with its revision.
func Load[T any](ctx context.Context, s store.Store, key string) (T, store.Revision, error) {
	var value T
	e, err := s.Get(ctx, key)
	if err != nil {
		return value, 0, fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(e.Value, &value); err != nil {
		return value, 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return value, e.Revision, nil
}

// List reads and decodes the records under a prefix.
func List[T any](ctx context.Context, s store.Store, prefix string) ([]T, error) {
	entries, _, err := store.ListAll(ctx, s, prefix)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return Decode[T](entries)
}

// Decode decodes records.
func Decode[T any](entries []store.Entry) ([]T, error) {
	values := make([]T, 0, len(entries))
	for _, e := range entries {
		var value T
		if err := json.Unmarshal(e.Value, &value); err != nil {
			return nil, fmt.Errorf("decode %s: %w", e.Key, err)
		}
		values = append(values, value)
	}
	return values, nil
}

// Save encodes a record and writes it if the key has the expected revision; 0 creates the key.
func Save(ctx context.Context, s store.Store, key string, value any, expect store.Revision, l store.LeaseID) (store.Revision, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	revision, err := s.Put(ctx, store.PutRequest{Key: key, Value: encoded, Expect: expect, Lease: l})
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	return revision, nil
}
