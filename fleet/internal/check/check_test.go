package check_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"verbenalanding.example/fleet/internal/check"
)

// recorder is a testing.TB that records whether the test failed.
type recorder struct {
	testing.TB
	cleanups []func()
	failed   bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Cleanup(f func())      { r.cleanups = append(r.cleanups, f) }
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Guards against a background function that ends with an unexpected error while the test passes.
func TestBackground(t *testing.T) {
	errEnd := errors.New("end")
	for _, c := range []struct {
		name   string
		end    error
		want   []error
		failed bool
	}{
		{"expected error", errEnd, []error{context.Canceled, errEnd}, false},
		{"wrapped expected error", fmt.Errorf("run: %w", errEnd), []error{errEnd}, false},
		{"unexpected error", errEnd, []error{nil, context.Canceled}, true},
		{"no error although one is expected", nil, []error{errEnd}, true},
		{"no error as expected", nil, []error{nil}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{}
			check.Background(r, func(ctx context.Context) error {
				<-ctx.Done()
				return c.end
			}, c.want...)
			for _, f := range r.cleanups {
				f()
			}
			check.Equal(t, "failed", r.failed, c.failed)
		})
	}
}
