//go:build knownred

package target_test

import (
	"math"
	"testing"
)

// Guards against a measurement that does not detect a step whose time grows with a power of 1.3. Its verdict was wrong once beside other
// load, see KNOWN-RED.txt.
func TestMeasureDetectsPowerGrowth(t *testing.T) {
	checkGrowth(t, []growthCase{{"power of 1.3", func(n float64) float64 { return 20 * math.Pow(n, 1.3) }, false}})
}
