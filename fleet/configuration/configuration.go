package configuration

import (
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/declaration"
)

var (
	// ErrConflict is wrapped by ConflictError.
	ErrConflict = errors.New("configuration changed since the base revision")
	// ErrNotReady is returned until a configuration has been read from the store or a peer.
	ErrNotReady = errors.New("no configuration has been read yet")
	// ErrUnknownOutcome is returned if the store's answer to a write was lost, so the change may or may not be accepted.
	ErrUnknownOutcome = errors.New("outcome of the change is unknown; ask again with the same change id")
)

// Change is a proposed or accepted change of the configuration.
type Change struct {
	// ID identifies the change; the same id is never applied twice.
	ID string `json:"id"`
	// Number is the revision that the change created; it is set on acceptance.
	Number uint64 `json:"number"`
	// Base is the revision that the change is based on.
	Base  uint64            `json:"base"`
	By    string            `json:"by"`
	At    time.Time         `json:"at"`
	Delta declaration.Delta `json:"delta"`
}

// ConflictError reports the accepted change that a proposed change conflicts with; it wraps ErrConflict.
type ConflictError struct {
	Other   Change
	Objects []declaration.Ref
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change %s by %s created revision %d and touched %v", e.Other.ID, e.Other.By, e.Other.Number, e.Objects)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
