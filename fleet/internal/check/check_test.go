package check_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"verbenalanding.example/fleet/internal/check"
)

// recorder takes the place of a test to see whether it fails.
type recorder struct {
	testing.TB
	cleanups []func()
	failed   bool
}

func (r *recorder) Helper()               {}
func (r *recorder) Cleanup(f func())      { r.cleanups = append(r.cleanups, f) }
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Guards against an unexpected end in the background that no test notices.
func TestBackground(t *testing.T) {
	errEnd := errors.New("end")
	for _, c := range []struct {
		name   string
		end    error
		want   []error
		failed bool
	}{
		{"the wanted error", errEnd, []error{context.Canceled, errEnd}, false},
		{"a wrapped one", fmt.Errorf("run: %w", errEnd), []error{errEnd}, false},
		{"another error", errEnd, []error{nil, context.Canceled}, true},
		{"none where one is wanted", nil, []error{errEnd}, true},
		{"none where none is wanted", nil, []error{nil}, false},
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
