package node

import (
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/leadership"
)

// logLeadership logs a change of the node's duties, or of what it knows of the other nodes.
func logLeadership(log zerolog.Logger, e leadership.Event) {
	level := zerolog.InfoLevel
	if e.Err != nil {
		level = zerolog.WarnLevel
	}
	line := log.WithLevel(level).Str("duty", e.Duty).Err(e.Err)
	if e.Fence != 0 {
		line = line.Uint64("fence", e.Fence).Str("former", e.Former.Node).Uint64("formerFence", e.Former.Fence).Str("reason", e.Reason).Strs("witnesses", e.Witnesses)
	}
	if len(e.Answers) > 0 {
		answers := zerolog.Arr()
		for _, a := range e.Answers {
			answers = answers.Str(a.String())
		}
		line = line.Array("storeAges", answers)
	}
	line.Msg(e.Kind)
}
