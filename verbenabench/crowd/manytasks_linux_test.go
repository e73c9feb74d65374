//go:build crowd && knownred

package crowd_test

import "testing"

// Guards against the one process that is left, which takes all pools over and does not survive the states of their tasks.
func TestTakeoverOfPoolsWithManyTasks(t *testing.T) {
	const clients, perClient = 4, 5
	checkTakeover(t, manyTasks(), clients, perClient)
}
