package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/archive"
	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/jobs"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
)

const (
	// observationQueueSize is the capacity of the queue of observations; observations that do not fit are counted and dropped.
	observationQueueSize = 1 << 14
	// maxRefusals is the number of recent refusals that an entry instance keeps.
	maxRefusals = 500
	// defaultWindow is the window of a service without an objective.
	defaultWindow = 30 * 24 * time.Hour
	// finalFlushTimeout is the time limit for writing the counts when the process stops.
	finalFlushTimeout = 5 * time.Second
)

// Refusal describes a request that did not complete, for operators' queries.
type Refusal struct {
	RequestID string        `json:"requestId"`
	Service   string        `json:"service"`
	Team      string        `json:"team"`
	Class     string        `json:"class"`
	Outcome   string        `json:"outcome"`
	Reason    record.Reason `json:"reason"`
}

// Observed holds the request statistics of one entry instance.
type Observed struct {
	Series     map[string]burn.Snapshot `json:"series"`
	Refusals   []Refusal                `json:"refusals"`
	Exclusions []jobs.Exclusion         `json:"exclusions"`
	// Pending holds the counts that have not been written to the store yet.
	Pending []archive.Pending `json:"pending"`
}

// observer counts requests by outcome.
type observer struct {
	configLog *configuration.Log
	queue     *ring.Ring[entry.Observation]
	archive   *archive.Writer
	dropped   metrics.Gauge
	latency   metrics.Timer

	mu          sync.Mutex
	jobsHolders map[int]*jobs.Holder
	series      map[string]*burn.Series
	refusals    []Refusal
}

func newObserver(d *Daemon, st stores, c *configuration.Log, registry metrics.Registry, log zerolog.Logger) *observer {
	session := d.Settings.ID + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	return &observer{
		archive:     &archive.Writer{Store: st[store.Maintenance], Session: session, Log: log},
		configLog:   c,
		queue:       ring.New[entry.Observation](observationQueueSize),
		dropped:     metrics.GetOrRegisterGauge("observations.dropped", registry),
		latency:     metrics.GetOrRegisterTimer("entry.took", registry),
		series:      map[string]*burn.Series{},
		jobsHolders: map[int]*jobs.Holder{},
	}
}

// offer queues an observation without blocking; it is dropped when the queue is full.
func (o *observer) offer(observation entry.Observation) { _ = o.queue.Offer(observation) }

// run counts the observations until the context ends, then counts those that are still queued and writes the counts a last time.
func (o *observer) run(ctx context.Context) error {
	group := &errgroup.Group{}
	group.Go(func() error { return o.archive.Run(ctx) })
	for ctx.Err() == nil {
		observation, err := o.queue.Take(ctx)
		if err != nil {
			break
		}
		o.count(observation)
		o.dropped.Update(o.queue.Refused() + int64(o.archive.Dropped()))
	}
	for o.queue.Len() > 0 {
		o.count(<-o.queue.Items())
	}
	err := group.Wait()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	if flushErr := o.archive.Flush(flushCtx); flushErr != nil {
		o.archive.Log.Warn().Err(flushErr).Msg("could not write the last request counts")
	}
	return err
}

func (o *observer) count(observation entry.Observation) {
	set, _, _ := o.configLog.Current()
	objective := objectiveOf(set, observation.Service)
	o.archive.Count(observation.At, observation.Service, classify(observation, objective))
	o.latency.Update(observation.Took)
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.series[observation.Service]
	if !ok {
		s = burn.NewSeries(objective.Window)
		o.series[observation.Service] = s
	}
	s.Add(observation.At, classify(observation, objective))
	if observation.Reason == "" {
		return
	}
	o.refusals = append(o.refusals, Refusal{
		RequestID: observation.RequestID, Service: observation.Service, Team: observation.Team, Class: observation.Class, Outcome: string(observation.Outcome),
		Reason: record.Reason{
			Rule:           observation.Reason,
			Detail:         fmt.Sprintf("answered after %s", observation.Took.Round(time.Millisecond)),
			ConfigRevision: observation.Revision,
			At:             observation.At,
		},
	})
	if excess := len(o.refusals) - maxRefusals; excess > 0 {
		o.refusals = slices.Delete(o.refusals, 0, excess)
	}
}

// objectiveOf returns the objective of a service, or one with the default window.
func objectiveOf(set declaration.Set, service string) declaration.Objective {
	for _, o := range set.Objectives {
		if o.Service == service {
			return o
		}
	}
	return declaration.Objective{Service: service, Window: defaultWindow}
}

// classify counts a request as good or bad by its outcome and, if it completed, by its status and latency.
func classify(observation entry.Observation, o declaration.Objective) burn.Counts {
	var c burn.Counts
	switch {
	case observation.Outcome == claim.NotRun:
		c.AddBad(burn.Refused, 1)
	case observation.Outcome == claim.Unknown:
		c.AddBad(burn.Unknown, 1)
	case observation.Status >= http.StatusInternalServerError:
		c.AddBad(burn.Failed, 1)
	case o.Within > 0 && observation.Took > o.Within:
		c.AddBad(burn.Late, 1)
	default:
		c.Good = 1
	}
	return c
}

// snapshot returns the statistics of this entry instance.
func (o *observer) snapshot() Observed {
	o.mu.Lock()
	defer o.mu.Unlock()
	observed := Observed{Series: map[string]burn.Snapshot{}, Refusals: slices.Clone(o.refusals), Pending: o.archive.Pending()}
	for _, h := range o.jobsHolders {
		observed.Exclusions = append(observed.Exclusions, h.Exclusions()...)
	}
	for service, s := range o.series {
		observed.Series[service] = s.Snapshot()
	}
	return observed
}

// setJobsHolder records this process's holder of a jobs shard, or removes it if h is nil.
func (o *observer) setJobsHolder(shard int, h *jobs.Holder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if h == nil {
		delete(o.jobsHolders, shard)
		return
	}
	o.jobsHolders[shard] = h
}
