package check

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"

	"golang.org/x/sync/errgroup"
)

// Equal fails the test when got differs from want.
func Equal[T any](t testing.TB, name string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %+v, want %+v", name, got, want)
	}
}

// NoError fails the test when err is not nil.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("error: got %v, want none", err)
	}
}

// ErrorIs fails the test when err does not wrap want.
func ErrorIs(t testing.TB, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error: got %v, want %v", err, want)
	}
}

// True fails the test when the condition does not hold.
func True(t testing.TB, name string, got bool) {
	t.Helper()
	if !got {
		t.Fatalf("%s: got false, want true", name)
	}
}

// Background runs a function in a goroutine and cancels its context when the test ends or the returned function is called. The test fails
// unless the function returns one of the given errors; nil means that it may return no error.
func Background(t testing.TB, run func(context.Context) error, want ...error) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return run(ctx) })
	t.Cleanup(func() {
		cancel()
		err := group.Wait()
		if !slices.ContainsFunc(want, func(w error) bool { return errors.Is(err, w) }) {
			t.Errorf("background function: got error %v, want one of %v", err, want)
		}
	})
	return cancel
}
