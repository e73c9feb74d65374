package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/ring"
)

// peerMethods are the methods of calls between nodes, and one that no version has.
var peerMethods = []string{
	methodJobState, methodPending, methodStatus, methodStored, methodCancelled, methodGet, methodApply, methodConfiguration, methodHolder,
	methodExplainJob, methodExplainQueue, methodArrivals, methodRefused, methodPlacement, "job.unknown",
}

// Guards against a call of another node, of another version or with a broken content, that ends the holder or gives it a job that no node can
// hold.
func FuzzPeerCall(f *testing.F) {
	const job = `{"id":"00000000000000a1","queue":"q","pool":"cutting","terms":{"name":"q","key":"h/q/","pool":"cutting","maxAttempts":3},"steps":[{"tasks":3,"need":{"cpu":500,"memoryMb":256}}]}`
	for method, params := range map[string]string{
		methodJobState: `{"pool":"cutting","name":"00000000000000a1"}`, methodPending: `{"pool":"cutting","name":"q","queue":"h/q/"}`,
		methodStatus: `{"Duties":["cutting"],"Taken":{"cutting":9}}`, methodCancelled: `{"pool":"cutting","name":"00000000000000a1"}`,
		methodStored: `{"pool":"cutting","id":"00000000000000a1","value":` + job + `,"revision":7}`, methodGet: `"job/cutting/00000000000000a1"`,
		methodApply: `{"If":[{"Key":"a","Revision":-1}],"Put":[{"Key":"a","Value":"e30="}]}`, methodConfiguration: `-3`, methodHolder: `"cutting"`,
		methodExplainJob: `{"pool":"cutting","name":"00000000000000a1"}`, methodExplainQueue: `{"pool":"cutting","name":"q","queue":"h/q/"}`,
		methodArrivals:  `{"home":"cutting","pool":"billing","counts":[{"workspace":"a","arrivals":-1e300},{"workspace":"a","arrivals":7}]}`,
		methodRefused:   `{"pool":"cutting","name":"00000000000000a1"}`,
		methodPlacement: `{"pool":"cutting","job":` + job + `}`,
		"job.unknown":   `[{"pool":null}]`,
	} {
		for i, known := range peerMethods {
			if method == known {
				f.Add(byte(i), []byte(params), []byte(`{"pool":"cutting"}`))
			}
		}
	}
	f.Fuzz(func(t *testing.T, method byte, params, followUp []byte) {
		p := offlinePool()
		n, now := p.node, p.node.Clock.Now()
		p.planNow = ring.New[struct{}](1)
		n.Elector = &leadership.Elector{Clock: n.Clock.Now, TTL: time.Second}
		for _, content := range [][]byte{params, followUp} {
			call := peerMethods[int(method)%len(peerMethods)]
			answer, err := n.handlePeerCall(context.Background(), call, content)
			if err == nil {
				if _, err := json.Marshal(answer); err != nil {
					t.Errorf("answer to %s: got %v, want one that can be sent", call, err)
				}
			}
			p.scheduler.Plan(now)
			method /= byte(len(peerMethods))
		}
	})
}
