package maintenance

import (
	"testing"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// Guards against a moved instance that an earlier holder of its new pool may change, because the store did not tell the epoch of the present one.
func TestEpochOfAPoolWhileTheStoreIsDown(t *testing.T) {
	s := standin.NewStore()
	st := &step{ctx: t.Context(), PoolLoop: &PoolLoop{Duty: Duty{Store: s}}}
	epoch, err := st.epochOf("p")
	check.NoError(t, err)
	check.Equal(t, "epoch of a duty that nobody has held", epoch, 0)
	_, err = record.Save(t.Context(), s, record.DutyPrefix+PoolDutyPrefix+"p", record.Duty{Epoch: 7}, 0, 0)
	check.NoError(t, err)
	epoch, err = st.epochOf("p")
	check.NoError(t, err)
	check.Equal(t, "epoch", epoch, 7)
	s.SetFaults(standin.StoreFaults{Down: true})
	_, err = st.epochOf("p")
	check.ErrorIs(t, err, store.ErrUnavailable)
}
