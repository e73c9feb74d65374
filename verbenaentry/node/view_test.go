package node

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// Guards against a node that keeps an old configuration because the last of several new ones cannot be decoded, and against one that goes back to
// an older version.
func TestNewestDecodableConfigurationIsInForce(t *testing.T) {
	version := func(n int64) []byte {
		content, err := json.Marshal(wire.Configuration{Version: n})
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	for _, tt := range []struct {
		name   string
		values [][]byte
		want   int64
	}{
		{"last of several", [][]byte{version(4), version(7)}, 7},
		{"last one undecodable", [][]byte{version(4), version(7), []byte(`{"Version":"x"}`)}, 7},
		{"older than in force", [][]byte{version(2)}, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newView(nil, zerolog.Nop(), monotonic.New())
			v.OnChange = func() {}
			v.configure(version(3))
			var events []store.Event
			for _, value := range tt.values {
				events = append(events, store.Event{Entry: store.Entry{Key: platform.ConfigurationKey, Value: value}})
			}
			v.apply(events, false)
			if got := v.Configuration().Version; got != tt.want {
				t.Errorf("version in force: got %d, want %d", got, tt.want)
			}
		})
	}
}
