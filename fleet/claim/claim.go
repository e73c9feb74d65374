package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"
)

// Shards is the number of parts of the key space; each has its own journal and holder.
const Shards = 8

// Outcome is the known outcome of a claimed request.
type Outcome string

// The outcomes of a request.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "notRun"
	Unknown   Outcome = "unknown"
)

// Decision is the answer to a claim.
type Decision string

// The decisions on a claim.
const (
	// Granted allows the claimant to dispatch the request once.
	Granted Decision = "granted"
	// Duplicated means that another request holds the key; the answer contains its outcome.
	Duplicated Decision = "duplicate"
	// Mismatched means that the key was claimed with another body.
	Mismatched Decision = "mismatch"
	// Refused means that the claim is not granted now; the claimant must not dispatch the request.
	Refused Decision = "notRun"
)

// Reasons of refused claims.
const (
	ReasonStoreDown  = "claimStoreDown"
	ReasonQueueFull  = "claimQueueFull"
	ReasonMemoryFull = "claimMemoryFull"
	ReasonNotHolder  = "claimNotHolder"
	ReasonReleased   = "claimReleased"
	ReasonTimeout    = "claimTimeout"
)

// Request asks for the right to run a request once; it is the content of the message claim.request.
type Request struct {
	Service    string `json:"service"`
	KeyHash    string `json:"keyHash"`
	BodyDigest string `json:"bodyDigest"`
	ClaimID    string `json:"claimId"`
}

// Finish reports how a claimed request ended; it is the content of the message claim.finish.
type Finish struct {
	Service string  `json:"service"`
	KeyHash string  `json:"keyHash"`
	ClaimID string  `json:"claimId"`
	Outcome Outcome `json:"outcome"`
}

// Answer is the reply to a Request.
type Answer struct {
	Decision Decision `json:"decision"`
	// Outcome is set for a duplicate: completed or unknown.
	Outcome Outcome `json:"outcome,omitempty"`
	// Reason is set for a refused claim.
	Reason string `json:"reason,omitempty"`
}

// HashKey returns the hash of an idempotency key; claims contain it in place of the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// ShardOf returns the shard of a key, from 0 to Shards-1.
func ShardOf(service, keyHash string) int {
	k := hashID(service, keyHash)
	return int(binary.LittleEndian.Uint16(k[14:]) % Shards)
}

// SegmentKey returns the store key of a journal segment; keys sort by segment number.
func SegmentKey(shard int, segment uint64) string {
	return fmt.Sprintf("%s%012d", ShardPrefix(shard), segment)
}

// ShardPrefix returns the prefix of the store keys of a shard's journal.
func ShardPrefix(shard int) string { return fmt.Sprintf("claim/%d/", shard) }

// Event is an input of a Journal.
type Event interface{ event() }

type (
	// Claim is the arrival of a claim for a key.
	Claim struct {
		Request Request
		// Ticket identifies the claim in the actions that answer it.
		Ticket uint64
	}
	// Finished is the arrival of a report on a claimed request.
	Finished struct{ Finish Finish }
	// Committed reports that the last Append is known to have taken effect.
	Committed struct{}
	// Stalled reports that the outcome of the last Append is not known yet because the store does not answer.
	Stalled struct{}
	// Fenced reports that another holder has sealed the journal and that the last Append did not take effect.
	Fenced struct{}
	// Tick triggers the actions that depend on time.
	Tick struct{}
)

func (Claim) event()     {}
func (Finished) event()  {}
func (Committed) event() {}
func (Stalled) event()   {}
func (Fenced) event()    {}
func (Tick) event()      {}

// Action is an output of a Journal.
type Action interface{ action() }

type (
	// Append writes a segment; the journal emits no other Append before the outcome of this one is reported.
	Append struct {
		Number  uint64
		Segment Segment
		// Create is true if the segment must not exist yet.
		Create bool
	}
	// Grant answers a claim: the request may run.
	Grant struct{ Ticket uint64 }
	// Duplicate answers a claim: another request holds the key.
	Duplicate struct {
		Ticket  uint64
		Outcome Outcome
	}
	// Mismatch answers a claim: the key was claimed with another body.
	Mismatch struct{ Ticket uint64 }
	// Reject answers a claim: it is not granted now.
	Reject struct {
		Ticket uint64
		Reason string
	}
	// Drop deletes a segment whose claims have all exceeded their retention.
	Drop struct{ Number uint64 }
)

func (Append) action()    {}
func (Grant) action()     {}
func (Duplicate) action() {}
func (Mismatch) action()  {}
func (Reject) action()    {}
func (Drop) action()      {}

// id is the first half of a SHA-256 sum; 128 bits are few enough to keep 24 h of keys in memory and make collisions negligible.
type id [16]byte

func hashID(parts ...string) id {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return id(sum[:16])
}

// MarshalText encodes the id in 22 characters.
func (i id) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, i[:]), nil
}

// UnmarshalText decodes an id of 22 characters.
func (i *id) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(i) {
		return fmt.Errorf("claim id %q: got %d bytes, want %d", text, len(decoded), len(i))
	}
	copy(i[:], decoded)
	return nil
}

// Line is one claim or one report in a segment.
type Line struct {
	Key   id  `json:"key"`
	Claim id  `json:"claim"`
	Body  *id `json:"body,omitempty"`
	// At is the time of the claim in Unix seconds; it is 0 in a report.
	At      int64   `json:"at,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// Segment is the value of one journal key.
type Segment struct {
	// Epoch is the epoch of the holder that wrote last, which may be the one that sealed the segment.
	Epoch uint64 `json:"epoch"`
	// Writer is the epoch of the holder that created the segment; no other holder appends to it.
	Writer uint64 `json:"writer"`
	// Commit counts the writes of the writer; it shows whether a write whose answer was lost has taken effect.
	Commit uint64 `json:"commit"`
	Sealed bool   `json:"sealed,omitempty"`
	Lines  []Line `json:"lines"`
}

// NewestClaim returns the time of the last claim in the segment, or the zero time.
func (s Segment) NewestClaim() time.Time {
	var newest int64
	for _, l := range s.Lines {
		newest = max(newest, l.At)
	}
	if newest == 0 {
		return time.Time{}
	}
	return time.Unix(newest, 0)
}
