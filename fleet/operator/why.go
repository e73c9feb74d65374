package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/record"
)

// maxFindings is the maximum number of findings in an explanation. Findings are added from the subject outwards, so those
// that exceed the limit are the most remote.
const maxFindings = 100

// explainer holds the set in force with the current records, and collects the findings of a why statement: first about its
// subject, then about the objects that the subject depends on.
type explainer struct {
	set         declaration.Set
	revision    uint64
	index       *budget.Index
	instances   map[string]record.Instance
	budgets     map[string]record.Budget
	waves       map[string]record.Wave
	moves       map[string]record.Move
	quarantines []Quarantine
	findings    []message.Finding
	unreadable  []string
	readErr     error
}

// why answers a why statement.
func (s *Server) why(ctx context.Context, q declaration.Why) (*message.Explanation, error) {
	e, err := s.newExplainer(ctx)
	if err != nil {
		return nil, err
	}
	var found bool
	switch q.Kind {
	case "instance":
		found = e.explainInstance(q.Name)
	case "wave":
		found = e.explainWave(q.Name)
	case "budget":
		found = e.explainBudget(0, q.Name)
	case "move":
		found = e.explainMove(q.Name)
	case "job":
		found, err = s.explainJob(ctx, e, q.Name)
	case "request":
		found, err = s.explainRequest(ctx, e, q.Name)
	}
	if err != nil {
		return nil, err
	}
	if !found && len(e.unreadable) > 0 {
		return nil, e.readErr
	}
	if !found {
		return nil, fmt.Errorf("%s: %w; list the known ones with show %s", quoteWord(q.Kind, q.Name), errNotFound, showKindOf(q.Kind))
	}
	if text := e.unreadableText(); text != "" {
		e.add(message.Finding{Kind: "records", Rule: "unreadable", Figures: text})
	}
	return &message.Explanation{Revision: e.revision, Findings: e.findings}, nil
}

// showKindOf returns the kind of the show statement that lists the subjects of a why statement.
func showKindOf(kind string) string {
	if kind == "request" {
		return "refusal"
	}
	return kind
}

// newExplainer returns an explainer with the configuration in force and the current records.
func (s *Server) newExplainer(ctx context.Context) (*explainer, error) {
	set, revision, err := s.Configuration.Current()
	if err != nil {
		return nil, err
	}
	e := &explainer{set: set, revision: revision, index: budget.NewIndex(set)}
	if e.instances, err = byName(ctx, s.Records.Instances, func(i record.Instance) string { return i.ID }); err != nil {
		return nil, err
	}
	e.budgets, err = byName(ctx, s.Records.Budgets, func(b record.Budget) string { return b.Name })
	e.addUnreadable("budgets", err)
	e.waves, err = byName(ctx, s.Records.Waves, func(w record.Wave) string { return w.Name })
	e.addUnreadable("waves", err)
	e.moves, err = byName(ctx, s.Records.Moves, func(m record.Move) string { return m.Instance })
	e.addUnreadable("moves", err)
	e.quarantines, err = s.Records.Quarantined(ctx)
	e.addUnreadable("quarantines", err)
	return e, nil
}

// addUnreadable notes a kind of records that cannot be read, for example while the store is down. The explanation continues
// without them.
func (e *explainer) addUnreadable(recordKind string, err error) {
	if err != nil {
		e.unreadable, e.readErr = append(e.unreadable, recordKind), err
	}
}

// unreadableText lists the kinds of records that could not be read; it is empty if all were read.
func (e *explainer) unreadableText() string {
	n := len(e.unreadable)
	switch n {
	case 0:
		return ""
	case 1:
		return fmt.Sprintf("%s cannot be read: %v", e.unreadable[0], e.readErr)
	}
	return fmt.Sprintf("%s and %s cannot be read: %v", strings.Join(e.unreadable[:n-1], ", "), e.unreadable[n-1], e.readErr)
}

func (e *explainer) add(f message.Finding) {
	if len(e.findings) >= maxFindings {
		return
	}
	if f.ConfigRevision == 0 {
		f.ConfigRevision = e.revision
	}
	e.findings = append(e.findings, f)
}

// findingOf returns a finding with the reason of a record.
func findingOf(depth int, kind, name, state string, r record.Reason) message.Finding {
	f := message.Finding{
		Depth: depth, Kind: kind, Name: name, State: state, Rule: r.Rule, Figures: r.Detail, ConfigRevision: r.ConfigRevision, At: timeOrNil(r.At),
	}
	if f.Rule == "" {
		f.Rule, f.Figures = "none", "the record gives no reason"
	}
	return f
}

func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func (e *explainer) explainInstance(id string) bool {
	i, ok := e.instances[id]
	if !ok {
		return false
	}
	e.add(findingOf(0, "instance", id, i.State, i.Reason))
	e.addIntent(1, declaration.RetireInstance, id)
	e.addIntent(1, declaration.CordonRack, i.Location.Rack)
	e.addQuarantines(1, "worker", id)
	if w, ok := e.waves[i.Wave]; ok {
		e.add(findingOf(1, "wave", w.Name, w.State, w.Reason))
	}
	if m, ok := e.moves[id]; ok && m.State != "done" && m.State != "abandoned" {
		e.add(findingOf(1, "move", id, m.State, m.Reason))
	}
	for _, name := range e.index.Covering(memberOf(i)) {
		e.explainBudget(1, name)
	}
	return true
}

func memberOf(i record.Instance) budget.Member {
	return budget.Member{ID: i.ID, Pool: i.Pool, Location: i.Location}
}

func (e *explainer) explainWave(name string) bool {
	declared, isDeclared := e.set.Waves[name]
	w, isRecorded := e.waves[name]
	if !isDeclared && !isRecorded {
		return false
	}
	switch {
	case isRecorded:
		e.add(findingOf(0, "wave", name, w.State, w.Reason))
	default:
		e.add(message.Finding{Kind: "wave", Name: name, State: "planned", Rule: "noRound", Figures: "no round has begun since the wave was declared"})
	}
	if declared.Paused {
		e.add(message.Finding{Depth: 1, Kind: "intent", Name: "pause wave " + name, Rule: "paused", Figures: "an operator paused the wave; it goes on after resume wave " + name})
	}
	e.addIntent(1, declaration.ResumeWave, name)
	for _, id := range w.Active {
		if i, ok := e.instances[id]; ok {
			e.add(findingOf(1, "instance", id, i.State, i.Reason))
		}
	}
	for _, f := range w.Failures {
		e.add(message.Finding{Depth: 1, Kind: "instance", Name: f.Instance, State: "failed", Rule: "notReturned", Figures: fmt.Sprintf("did not return; rack %s, data centre %s, firmware %q", f.Location.Rack, f.Location.DataCentre, f.Firmware), At: timeOrNil(f.At)})
	}
	for _, name := range e.limitingBudgets(declared.Scope) {
		e.explainBudget(1, name)
	}
	return true
}

func (e *explainer) explainMove(id string) bool {
	m, ok := e.moves[id]
	if !ok {
		return false
	}
	e.add(findingOf(0, "move", id, m.State, m.Reason))
	i, ok := e.instances[id]
	if !ok {
		return true
	}
	e.add(findingOf(1, "instance", id, i.State, i.Reason))
	for _, name := range e.index.Covering(memberOf(i)) {
		e.explainBudget(1, name)
	}
	return true
}

func (e *explainer) addIntent(depth int, kind declaration.IntentKind, target string) {
	i, ok := e.set.Intents[declaration.Intent{Kind: kind, Target: target}.Key()]
	if !ok {
		return
	}
	e.add(message.Finding{Depth: depth, Kind: "intent", Name: string(kind) + " " + target, Rule: "intent", Figures: "stated by " + i.By, At: timeOrNil(i.At)})
}

func (e *explainer) addQuarantines(depth int, kind, name string) {
	for _, q := range e.quarantines {
		if q.Kind == kind && q.Name == name {
			e.add(findingOf(depth, "quarantine", name, kind, q.Reason))
		}
	}
}

func (s *Server) explainJob(ctx context.Context, e *explainer, id string) (bool, error) {
	jobs, err := s.Records.Jobs(ctx)
	if err != nil {
		return false, err
	}
	index := slices.IndexFunc(jobs, func(j record.Job) bool { return j.ID == id })
	if index < 0 {
		return false, nil
	}
	j := jobs[index]
	e.add(findingOf(0, "job", id, j.State, j.Reason))
	e.addIntent(1, declaration.CancelJob, id)
	e.addQuarantines(1, "jobKind", j.Kind)
	e.addTeam(j.Team, jobs)
	if i, ok := e.instances[j.Worker]; ok {
		e.add(findingOf(1, "instance", i.ID, i.State, i.Reason))
		e.addQuarantines(2, "worker", i.ID)
	}
	return true, nil
}

// addTeam adds a finding about how much of a team's quota its placed jobs use.
func (e *explainer) addTeam(name string, jobs []record.Job) {
	t, ok := e.set.Teams[name]
	if !ok {
		e.add(message.Finding{Depth: 1, Kind: "team", Name: name, Rule: "quota", Figures: "the team is not declared"})
		return
	}
	u := usageOf(name, jobs)
	e.add(message.Finding{
		Depth: 1, Kind: "team", Name: name, Rule: "quota",
		Figures: fmt.Sprintf("%s: %s of %s cores, %s of %s, %d of %d accelerators by declared sizes", plural(u.jobs, "placed jobs"),
			declaration.FormatCores(u.cores), declaration.FormatCores(t.MilliCores), declaration.FormatSize(u.memory), declaration.FormatSize(t.MemoryBytes),
			u.accelerators, t.Accelerators),
	})
}

// usage is the sum of the declared sizes of a team's placed jobs.
type usage struct {
	jobs                        int
	cores, memory, accelerators int64
}

func usageOf(team string, jobs []record.Job) usage {
	var u usage
	for _, j := range jobs {
		if j.Team != team || !slices.Contains([]string{"placed", "starting", "running"}, j.State) {
			continue
		}
		u.jobs++
		u.cores += j.Declared.MilliCores
		u.memory += j.Declared.MemoryBytes
		u.accelerators += j.Declared.Accelerators
	}
	return u
}

func (s *Server) explainRequest(ctx context.Context, e *explainer, id string) (bool, error) {
	refusals, err := s.Records.Refusals(ctx)
	if err != nil {
		return false, err
	}
	index := slices.IndexFunc(refusals, func(r Refusal) bool { return r.RequestID == id })
	if index < 0 {
		return false, nil
	}
	r := refusals[index]
	e.add(findingOf(0, "request", id, r.Outcome, r.Reason))
	service, ok := e.set.Services[r.Service]
	if !ok {
		return true, nil
	}
	e.add(message.Finding{
		Depth: 1, Kind: "service", Name: r.Service, Rule: "share",
		Figures: fmt.Sprintf("class %s, share %d%% of pool %s, deadline %s", service.Class, service.Share, service.Pool, declaration.FormatDuration(service.Deadline)),
	})
	inService, total := 0, 0
	for _, i := range e.instances {
		if i.Pool != service.Pool || i.State == "retired" {
			continue
		}
		total++
		if i.State == "inService" {
			inService++
		}
	}
	pool := e.set.Pools[service.Pool]
	e.add(message.Finding{
		Depth: 1, Kind: "pool", Name: service.Pool, Rule: "capacity",
		Figures: fmt.Sprintf("%d of %d instances in service with %d slots each", inService, total, pool.Slots),
	})
	return true, nil
}
