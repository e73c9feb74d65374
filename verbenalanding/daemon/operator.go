package daemon

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/verbenalanding/settings"
)

func newRecords(m *mirrors, v *view, s stores, c *configuration.Log, o *observer, n *peer.Node) *records {
	return &records{mirrors: m, view: v, stores: s, configLog: c, observer: o, node: n}
}

func newOperator(d *Daemon, r *records, c *configuration.Log, registry metrics.Registry, log zerolog.Logger) (*operator.Server, error) {
	tokens := &operator.Tokens{File: d.Settings.TokensFile, Log: log}
	if err := tokens.Load(); err != nil {
		return nil, fmt.Errorf("%w: --tokens-file: %w; write one with verbenactl hash-token", settings.ErrInvalid, err)
	}
	s := &operator.Server{
		Configuration: c,
		Records:       r,
		Reports:       r,
		Tokens:        tokens,
		Metrics:       metricsHandler(registry),
		Version:       d.Version,
		Log:           log,
		ConnState:     d.operators.TrackState,
	}
	if d.Settings.OperatorCert != "" {
		s.Certificates = &operator.Certificates{CertFile: d.Settings.OperatorCert, KeyFile: d.Settings.OperatorKey, Log: log}
	}
	return s, nil
}

// Quarantined returns the workers and job kinds in quarantine, as reported by the holders of the jobs shards.
func (r *records) Quarantined(ctx context.Context) ([]operator.Quarantine, error) {
	var quarantines []operator.Quarantine
	for _, o := range r.gatherObserved(ctx) {
		for _, exclusion := range o.Exclusions {
			quarantines = append(quarantines, operator.Quarantine(exclusion))
		}
	}
	return quarantines, nil
}
