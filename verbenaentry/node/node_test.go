package node

import (
	"io"
	"testing"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/logs"
)

// Guards against a data race between the logging of one node and the start of another in the same process.
func TestNodesOfOneProcessLogWhileOthersStart(_ *testing.T) {
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			log := newLogger(logs.NewWriter(io.Discard), Flags{LogLevel: "info"}, platform.Settings{})
			for range 100 {
				log.Info().Msg("line")
			}
			return nil
		})
	}
	_ = group.Wait()
}
