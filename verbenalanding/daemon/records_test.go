package daemon

import (
	"errors"
	"testing"

	"verbenalanding.example/fleet/configuration"
)

// Guards against an empty burn report, which looks like a week without errors, while the configuration has not been read.
func TestBurnReportWithoutConfiguration(t *testing.T) {
	r := &records{configLog: &configuration.Log{}}
	rendered, err := r.Report(t.Context(), "burn", "text")
	if !errors.Is(err, configuration.ErrNotReady) {
		t.Errorf("burn report: got %v (%s), want %v", err, rendered.Body, configuration.ErrNotReady)
	}
}
