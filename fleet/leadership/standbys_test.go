package leadership_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Guards against a standby that replaces a holder which other standbys reach, because nodes that do not monitor that holder answer.
func TestNodesThatDoNotMonitorTheHolderConfirmNothing(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	n.ttl = leaseTTL
	net := newNetwork()
	names := nodesThatAskNoMonitor()
	var first term
	for i, name := range append([]string{"a"}, names...) {
		el := n.build(name, 0)
		el.RequestStatus = net.requestStatus(name)
		net.mu.Lock()
		net.nodes[name] = el
		net.mu.Unlock()
		n.run(el)
		if i == 0 {
			first = await(t, "first holder", n.began)
		}
		waitUntil(t, "the node is registered", func() bool { return len(net.nodes["a"].Members()) == i+1 && len(el.Members()) == i+1 })
	}
	time.Sleep(500 * time.Millisecond)
	net.setPair(first.node, names[len(names)-1], true)
	assertNoSuccessor(t, n, 3*time.Second)
}

// nodesThatAskNoMonitor returns the names of eight nodes: a standby asks the first four, and the last four monitor the holder of the duty.
func nodesThatAskNoMonitor() []string {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	byHash := func(duty string) func(a, b string) int {
		return func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(a+"\x00"+duty), xxhash.Sum64String(b+"\x00"+duty))
		}
	}
	slices.SortFunc(names, byHash(""))
	asked, monitors := names[:20], names[50:]
	slices.SortFunc(asked, byHash("pool"))
	slices.SortFunc(monitors, byHash("pool"))
	return slices.Concat(asked[16:], monitors[:4])
}
