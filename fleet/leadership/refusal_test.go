package leadership

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a holder that is replaced at once as one without a process, although it was only slow between two refused connections, as
// during a restart.
func TestRefusalsCountOnlyInARow(t *testing.T) {
	timeout := errors.New("timeout")
	for _, tt := range []struct {
		name  string
		polls []error
		want  takeoverReason
	}{
		{"two in a row", []error{ErrNoProcess, ErrNoProcess}, processGone},
		{"a timeout between", []error{ErrNoProcess, timeout, ErrNoProcess}, ""},
		{"an answer between", []error{ErrNoProcess, nil, ErrNoProcess}, ""},
		{"two after a timeout", []error{timeout, ErrNoProcess, ErrNoProcess}, processGone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			polls := tt.polls
			el := &Elector{Clock: time.Now, RequestStatus: func(context.Context, Member, StatusRequest) (Status, error) {
				err := polls[0]
				polls = polls[1:]
				return Status{}, err
			}}
			h := &holderHealth{lastContact: time.Now()}
			for range tt.polls {
				el.pollHolder(t.Context(), Member{Node: "holder"}, h)
			}
			if got := h.assess(time.Now(), time.Minute, true); got != tt.want {
				t.Errorf("reason to replace the holder: got %q, want %q", got, tt.want)
			}
		})
	}
}
