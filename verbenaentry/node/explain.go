package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// explainCalls bounds the concurrent calls to holders for one explanation.
const explainCalls = 8

// The errors of an explanation.
var (
	errUnknownJob     = errors.New("no holder knows the job")
	errUnknownQueue   = errors.New("no such queue")
	errHoldersMissing = errors.New("not all holders have answered")
)

// jobExplanation is a holder's answer to methodExplainJob.
type jobExplanation struct {
	Known       bool                 `json:"known"`
	Explanation dispatch.Explanation `json:"explanation"`
}

func (p *pool) explainJob(id string) jobExplanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, known := p.scheduler.Explain(id, p.node.Clock.Now())
	return jobExplanation{known, e}
}

func (p *pool) explainQueue(q workload.Queue) dispatch.QueueExplanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.ExplainQueue(q, p.node.Clock.Now())
}

// explainJob asks the holders of all pools why a job waits, since an operator may have its id only.
func (n *Node) explainJob(ctx context.Context, id string) (dispatch.Explanation, error) {
	c := n.View.Configuration()
	if c == nil {
		return dispatch.Explanation{}, errHoldersMissing
	}
	var mu sync.Mutex
	var found jobExplanation
	missing := false
	var group errgroup.Group
	group.SetLimit(explainCalls)
	for _, settings := range c.Pools {
		group.Go(func() error {
			answer, err := n.explainJobOf(ctx, settings.Name, id)
			mu.Lock()
			defer mu.Unlock()
			missing = missing || err != nil
			if answer.Known {
				found = answer
			}
			return nil
		})
	}
	_ = group.Wait()
	switch {
	case found.Known:
		return found.Explanation, nil
	case missing:
		return dispatch.Explanation{}, errHoldersMissing
	}
	return dispatch.Explanation{}, errUnknownJob
}

func (n *Node) explainJobOf(ctx context.Context, pool, id string) (answer jobExplanation, err error) {
	if held := n.pools.get(pool); held != nil {
		return held.explainJob(id), nil
	}
	return answer, n.callHolder(ctx, pool, methodExplainJob, poolItem{Pool: pool, Name: id}, &answer)
}

// explainQueue asks why the jobs of a queue wait: the holder of its pool, and those of the pools that it has left.
func (n *Node) explainQueue(ctx context.Context, name string) (answer dispatch.QueueExplanation, err error) {
	c := n.View.Configuration()
	if c == nil {
		return answer, errHoldersMissing
	}
	i := slices.IndexFunc(c.Queues, func(q workload.Queue) bool { return q.Name == name })
	if i < 0 {
		return answer, errUnknownQueue
	}
	for at, pool := range n.poolsOf(ctx, &c.Queues[i]) {
		part, err := n.explainQueueIn(ctx, pool, c.Queues[i])
		if err != nil {
			return answer, errors.Join(errHoldersMissing, err)
		}
		if at == 0 {
			answer = part
		} else {
			answer.Add(part)
		}
	}
	return answer, nil
}

func (n *Node) explainQueueIn(ctx context.Context, pool string, q workload.Queue) (answer dispatch.QueueExplanation, err error) {
	if held := n.pools.get(pool); held != nil {
		return held.explainQueue(q), nil
	}
	return answer, n.callHolder(ctx, pool, methodExplainQueue, poolItem{Pool: pool, Name: q.Name, Queue: q.Key}, &answer)
}

// routeExplanations serves explanations to operators.
func (n *Node) routeExplanations(router chi.Router) {
	router.Get("/operator/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		e, err := n.explainJob(r.Context(), chi.URLParam(r, "id"))
		n.answerExplanation(w, e, err)
	})
	router.Get("/operator/queues/{name}", func(w http.ResponseWriter, r *http.Request) {
		e, err := n.explainQueue(r.Context(), chi.URLParam(r, "name"))
		n.answerExplanation(w, e, err)
	})
	router.Post("/operator/queues/{name}/placement", n.placeForOperator)
}

func (n *Node) answerExplanation(w http.ResponseWriter, explanation any, err error) {
	switch {
	case errors.Is(err, errUnknownJob), errors.Is(err, errUnknownQueue), errors.Is(err, errUnknownWorkspace):
		n.refuseOperator(w, http.StatusNotFound, reasonOf(http.StatusNotFound), err.Error())
		return
	case err != nil:
		n.refuseOperator(w, http.StatusServiceUnavailable, reasonOf(http.StatusServiceUnavailable), err.Error())
		return
	}
	body, err := json.Marshal(explanation)
	if err != nil {
		n.refuseOperator(w, http.StatusInternalServerError, reasonOf(http.StatusInternalServerError), "explanation not encoded")
		return
	}
	n.answerJSON(w, body)
}
