package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/store"
)

// Propose writes a change to the log and returns it with its number. If a change with the same id was accepted before, it
// returns that change. The error is a *ConflictError, ErrUnknownOutcome, an error of Validate or an error of the store; in
// the last two cases the change was not applied.
func (l *Log) Propose(ctx context.Context, c Change) (Change, error) {
	var unconfirmed uint64
	backoff := minBackoff
	for {
		accepted, err := l.tryPropose(ctx, c, &unconfirmed)
		if err != nil && unconfirmed != 0 && !errors.Is(err, errRetry) {
			err = fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		if !errors.Is(err, errRetry) {
			return accepted, err
		}
		if mirror.WaitJittered(ctx, backoff) {
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if unconfirmed != 0 {
			return Change{}, fmt.Errorf("change %s: %w", c.ID, ErrUnknownOutcome)
		}
		return Change{}, fmt.Errorf("change %s was not applied: %w", c.ID, ctx.Err())
	}
}

// errRetry is returned by an attempt that must be repeated.
var errRetry = errors.New("attempt must be repeated")

// tryPropose makes one attempt. A write whose answer was lost is repeated at the same key, so at most one of the writes
// is accepted and the next attempt finds it by its change id. The parameter unconfirmed is the number of such a write until
// its outcome is known, and 0 otherwise.
func (l *Log) tryPropose(ctx context.Context, c Change, unconfirmed *uint64) (Change, error) {
	if err := l.CatchUp(ctx); err != nil {
		if *unconfirmed != 0 {
			return Change{}, errRetry
		}
		return Change{}, fmt.Errorf("read the change log: %w", err)
	}
	state := l.copyState()
	if accepted, ok := findChange(state.Recent, c.ID); ok {
		return accepted, nil
	}
	if state.Revision >= *unconfirmed {
		// Another change has the number, so the unconfirmed write was rejected.
		*unconfirmed = 0
	}
	if err := checkConflict(state, c); err != nil {
		return Change{}, err
	}
	if l.Validate != nil {
		if err := l.Validate(state.Set.Apply(c.Delta)); err != nil {
			return Change{}, err
		}
	}
	c.Number = state.Revision + 1
	c.At = l.Now()
	encoded, err := json.Marshal(c)
	if err != nil {
		return Change{}, fmt.Errorf("encode change %s: %w", c.ID, err)
	}
	_, err = l.Store.Put(ctx, store.PutRequest{Key: Key(c.Number), Value: encoded})
	switch {
	case errors.Is(err, store.ErrConflict):
		return Change{}, errRetry
	case errors.Is(err, store.ErrUnavailable):
		*unconfirmed = c.Number
		return Change{}, errRetry
	case err != nil:
		return Change{}, fmt.Errorf("write change %s: %w", c.ID, err)
	}
	l.Merge(State{Revision: c.Number, Recent: []Change{c}})
	return c, nil
}

func findChange(changes []Change, id string) (Change, bool) {
	i := slices.IndexFunc(changes, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return changes[i], true
}

// checkConflict returns a *ConflictError if an object that the change touches was changed after the change's base revision.
// If the base is outside the revisions that are kept, the error wraps ErrConflict.
func checkConflict(s State, c Change) error {
	isTouched := map[declaration.Ref]bool{}
	for _, r := range c.Delta.Refs() {
		isTouched[r] = true
	}
	oldest := s.Revision - uint64(len(s.Recent))
	if c.Base < oldest {
		return fmt.Errorf("base revision %d is older than the kept changes from %d on: %w", c.Base, oldest, ErrConflict)
	}
	if c.Base > s.Revision {
		return fmt.Errorf("base revision %d is newer than revision %d: %w", c.Base, s.Revision, ErrConflict)
	}
	for _, other := range s.Recent {
		if other.Number <= c.Base {
			continue
		}
		var objects []declaration.Ref
		for _, r := range other.Delta.Refs() {
			if isTouched[r] {
				objects = append(objects, r)
			}
		}
		if len(objects) > 0 {
			return &ConflictError{Other: other, Objects: objects}
		}
	}
	return nil
}
