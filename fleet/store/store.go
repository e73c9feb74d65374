package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the largest value in bytes that the store accepts.
const MaxValueSize = 1 << 20

var (
	// ErrNotFound is returned when the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict is returned when the expected revision is not the current one; the write was not applied.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable is returned when no answer arrived; a write may or may not have been applied.
	ErrUnavailable = errors.New("store unavailable")
	// ErrLeaseExpired is returned when the lease does not exist any more; the call was not applied.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrCompacted is returned by Watch when the store no longer keeps all events after the requested revision.
	ErrCompacted = errors.New("watch revision compacted")
	// ErrTooLarge is returned when a value is larger than MaxValueSize; the write was not applied.
	ErrTooLarge = errors.New("value too large")
	// ErrRefused is returned when the store rejected the call; it was not applied.
	ErrRefused = errors.New("refused by the store")
	// ErrInvalid is returned with ErrRefused when the store will never accept the call.
	ErrInvalid = errors.New("invalid call")
	// ErrOverShare is returned by Metered when a mechanism has used up its share; the call was not sent.
	ErrOverShare = errors.New("call rate above the mechanism's share")
)

// Revision is the store-wide number of a write and grows with every write; 0 means that the key does not exist.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Created is the revision of the write that created the key; stores without it leave it 0.
	Created Revision `json:"created,omitempty"`
	Lease   LeaseID  `json:"lease,omitempty"`
}

// PutRequest is a compare-and-swap write.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that the key must have; 0 creates the key.
	Expect Revision `json:"expect"`
	// Lease is the lease with whose end the key is removed; 0 keeps the key.
	Lease LeaseID `json:"lease,omitempty"`
}

// Event is a change of one key.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Page is a part of the entries under a prefix, in key order.
type Page struct {
	Entries []Entry `json:"entries"`
	// Next is the key to continue from; empty for the last page.
	Next string `json:"next,omitempty"`
	// Revision is the store's revision at the time of the read, from which a watch can continue.
	Revision Revision `json:"revision"`
}

// Batch is the answer of one Watch call.
type Batch struct {
	Events []Event `json:"events"`
	// Revision is the revision up to which the events are complete.
	Revision Revision `json:"revision"`
}

// Store is the platform's key-value service; every method returns ErrUnavailable when the service does not answer.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns at most limit entries whose keys have the prefix, in key order; from is the Next of the previous page, or empty.
	List(ctx context.Context, prefix, from string, limit int) (Page, error)
	// Put writes a key that has the expected revision and returns the new revision, or ErrConflict, ErrTooLarge or ErrLeaseExpired.
	Put(ctx context.Context, r PutRequest) (Revision, error)
	// Delete removes a key that has the expected revision, or returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch returns the events under prefix after a revision; it waits for at most wait until there is one, and may return ErrCompacted.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
	// Grant creates a lease that ends when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live, or returns ErrLeaseExpired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// MaxTransaction is the largest number of conditions, puts and deletes in one transaction.
const MaxTransaction = 32

// Condition requires that a key has a revision; 0 requires that it does not exist.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write puts a value in a transaction.
type Write struct {
	Key   string  `json:"key"`
	Value []byte  `json:"value"`
	Lease LeaseID `json:"lease,omitempty"`
}

// Transaction is a set of writes that are applied together if every condition holds, or not at all.
type Transaction struct {
	If     []Condition `json:"if,omitempty"`
	Put    []Write     `json:"put,omitempty"`
	Delete []string    `json:"delete,omitempty"`
}

// Transactor is a store that changes several keys in one call.
type Transactor interface {
	Store
	// Apply runs a transaction and returns its revision. With ErrConflict it returns the current entries of the conditions'
	// keys that exist; ErrRefused means that nothing was done, and ErrUnavailable that the transaction may take effect now
	// or seconds later.
	Apply(ctx context.Context, t Transaction) (Revision, []Entry, error)
}

// ListAll reads every page under prefix and returns the entries with the revision of the first page.
func ListAll(ctx context.Context, s Store, prefix string) ([]Entry, Revision, error) {
	const pageLimit = 500
	var entries []Entry
	var revision Revision
	from := ""
	for {
		page, err := s.List(ctx, prefix, from, pageLimit)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if page.Next == "" {
			return entries, revision, nil
		}
		from = page.Next
	}
}
