package operator_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/store"
)

// Guards against filters that compare quantities as text, a wrong order, and a limit that hides the total number of rows.
func TestShowFiltersOrdersAndLimits(t *testing.T) {
	b := newFixture(t)
	for text, want := range map[string]string{
		"show pool where instances > 9 order by instances desc limit 1":        "embroidery of 2",
		"show service where deadline >= 1m":                                    "inventoryTally of 1",
		"show service where deadline = 60000ms and class = deferrable":         "inventoryTally of 1",
		"show service where maxAnswer > 999KB order by maxAnswer desc limit 1": "patternRecut of 3",
		"show instance where state != inService order by id":                   "cuttingRoom-a cuttingRoom-b of 2",
		"show instance where pool = billing and rack = r3":                     "billing-i billing-j billing-k of 3",
		"show objective where target > 99.5%":                                  "fittingBay of 1",
		"show wave where state = running":                                      "beforeCutters of 1",
		"show budget where down > 0":                                           "cuttingRoom of 1",
		"show job where state = running and team = cutting":                    "j1 of 1",
		"show move":                             "ledgerTools-a of 1",
		"show refusal where rule = queueFull":   "q1 of 1",
		"show quarantine where kind = jobKind":  "jobKind of 1",
		"show team order by cores desc limit 1": "ledger of 3",
		"show intent":                           " of 0",
		`show instance where detail = "no answer for 10 s" and since < "2030-01-01T"`: "cuttingRoom-b of 1",
	} {
		answer, p := b.query(t, readerToken, text)
		check.Equal(t, text, p.Detail, "")
		var names []string
		for _, row := range answer.Table.Rows {
			check.Equal(t, "cells", len(row), len(answer.Table.Columns))
			names = append(names, row[0])
		}
		check.Equal(t, text, fmt.Sprintf("%s of %d", strings.Join(names, " "), answer.Table.Total), want)
	}
}

// Guards against an explanation that stops before the cause, or that lacks the rule, its figures or the revision.
func TestWhyExplainsDownToCause(t *testing.T) {
	b := newFixture(t)
	for text, want := range map[string][]string{
		"why wave beforeCutters": {
			"0 wave beforeCutters running budget: budget cuttingRoom: 1 reserved and 1 failed of at most 2",
			"1 instance cuttingRoom-a rebooting waveStop: round 7 of wave beforeCutters",
			"1 budget cuttingRoom full maxUnavailable: budget cuttingRoom: 1 reserved and 1 failed of at most 2, 1 of 1 racks, 1 of 1 data centres",
			"2 instance cuttingRoom-a rebooting reserved: reserved by wave/beforeCutters with epoch 4; round 7 of wave beforeCutters",
			"2 instance cuttingRoom-b failed down: failed unplanned; no answer for 10 s",
		},
		"why instance cuttingRoom-c": {
			"0 instance cuttingRoom-c inService none: the record gives no reason",
			"1 budget cuttingRoom full maxUnavailable: budget cuttingRoom: 1 reserved and 1 failed of at most 2, 1 of 1 racks, 1 of 1 data centres",
			"2 instance cuttingRoom-a rebooting reserved: reserved by wave/beforeCutters with epoch 4; round 7 of wave beforeCutters",
			"2 instance cuttingRoom-b failed down: failed unplanned; no answer for 10 s",
			"1 budget fleet room for 8 maxUnavailable: budget fleet: 0 reserved and 0 failed of at most 8",
		},
		"why job j1": {
			"0 job j1 running fits: 500 of 800 cores",
			"1 quarantine recut jobKind failures: 3 of 3 starts failed",
			"1 team cutting  quota: 1 placed job: 500 of 800 cores, 1TB of 1600GB, 0 of 0 accelerators by declared sizes",
			"1 instance cuttingRoom-c inService none: the record gives no reason",
		},
		"why request q1": {
			"0 request q1 notRun queueFull: 64 of 64 queued",
			"1 service sizeMatch  share: class urgent, share 60% of pool fittingDesk, deadline 2s",
			"1 pool fittingDesk  capacity: 9 of 9 instances in service with 8 slots each",
		},
		"why move ledgerTools-a": {
			"0 move ledgerTools-a reserved forecast: billing lacks 6 slots",
			"1 instance ledgerTools-a inService none: the record gives no reason",
			"1 budget fleet room for 8 maxUnavailable: budget fleet: 0 reserved and 0 failed of at most 8",
		},
		"why wave backOffice": {"0 wave backOffice planned noRound: no round has begun since the wave was declared"},
	} {
		answer, p := b.query(t, readerToken, text)
		check.Equal(t, text, p.Detail, "")
		var got []string
		for _, f := range answer.Explanation.Findings {
			got = append(got, fmt.Sprintf("%d %s %s %s %s: %s", f.Depth, f.Kind, f.Name, f.State, f.Rule, f.Figures))
			check.True(t, "revision is named", f.ConfigRevision == 3 || f.ConfigRevision == answer.Explanation.Revision)
		}
		check.Equal(t, text, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	b.records.budgets[0].Down = nil
	answer, p := b.query(t, readerToken, "why wave beforeCutters")
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "budget that limits data centres", answer.Explanation.Findings[2].State, "no further data centre")
	_, p = b.query(t, readerToken, "why job j9")
	check.Equal(t, "status", p.Status, http.StatusNotFound)
	check.Equal(t, "detail", p.Detail, `job "j9": not found; list the known ones with show job`)
}

// Guards against a diff that omits a consequence of a change.
func TestDiffListsEffects(t *testing.T) {
	b := newFixture(t)
	for _, c := range []struct {
		name, old, new, change, effect string
	}{
		{"budget below its use", "budget cuttingRoom {\n  pools = [cuttingRoom]\n  maxUnavailable = 2", "budget cuttingRoom {\n  pools = [cuttingRoom]\n  maxUnavailable = 1", "change budget cuttingRoom maxUnavailable 2>1", "budget budget/cuttingRoom tighter than the present state: 2 of 9 covered instances are out of service or reserved, 1 allowed; no stop would begin until 2 are back"},
		{"lower maximum", "pool billing {\n  instances = 11\n  minimum = 8\n  maximum = 17", "pool billing {\n  instances = 9\n  minimum = 8\n  maximum = 9", "change pool billing instances 11>9 maximum 17>9", "drain pool/billing 2 instances above the maximum of 9 would be drained and moved to other pools\nshare pool/billing class standard would lose guaranteed slots: 57.6 instead of 70.4"},
		{"less share", "share = 60%", "share = 50%", "change service sizeMatch share 60%>50%", "share pool/fittingDesk class urgent would lose guaranteed slots: 36.0 instead of 43.2"},
		{"less urgent", "class = urgent", "class = standard", "change service sizeMatch class urgent>standard", "requests service/sizeMatch requests of class urgent would be refused, since the service becomes standard\nshare pool/fittingDesk class urgent would lose guaranteed slots: 0.0 instead of 43.2"},
		{"quota below its use", "team cutting {\n  cores = 800", "team cutting {\n  cores = 400", "change team cutting cores 800>400", "quota team/cutting 500 cores and 1TB are held by 1 placed job, above the quota of 400 cores and 1600GB; no further job would start until some end"},
		{"retire", "wave backOffice", "retire instance billing-a\nwave backOffice", "add intent retireInstance/billing-a at >", "drain intent/retireInstance/billing-a instance billing-a would be drained and leave the fleet"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d message.Difference
			p := b.call(t, http.MethodPost, message.DiffPath, readerToken, message.Diff{Files: edited(t, c.old, c.new)}, &d)
			check.Equal(t, "problem", p.Detail, "")
			check.Equal(t, "changes", len(d.Changes), 1)
			change := fmt.Sprintf("%s %s %s", d.Changes[0].Action, d.Changes[0].Object.Kind, d.Changes[0].Object.Name)
			for _, f := range d.Changes[0].Fields {
				if f.Field == "at" {
					f.To = ""
				}
				change += fmt.Sprintf(" %s %s>%s", f.Field, f.From, f.To)
			}
			check.Equal(t, "change", change, c.change)
			var effects []string
			for _, e := range d.Effects {
				effects = append(effects, fmt.Sprintf("%s %s/%s %s", e.Kind, e.Object.Kind, e.Object.Name, e.Text))
			}
			check.Equal(t, "effects", strings.Join(effects, "\n"), c.effect)
		})
	}
	var d message.Difference
	p := b.call(t, http.MethodPost, message.DiffPath, readerToken, message.Diff{Prune: true, Files: sampleWithout(t, "wave beforeCutters {", "}\n\nwave")}, &d)
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "removed wave", d.Effects[0].Text, "the round would end; 1 instance would return to service: cuttingRoom-a")
	check.Equal(t, "changes in force", len(b.log.changes), 0)
	b.records.instances = nil
	p = b.call(t, http.MethodPost, message.DiffPath, readerToken, message.Diff{Files: edited(t, "minimum = 8\n  maximum = 17", "minimum = 9\n  maximum = 17")}, &d)
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "effect without known instances", d.Effects[len(d.Effects)-1].Kind, "unknown")
}

// sampleWithout returns the sample without the text from one string up to the next occurrence of another.
func sampleWithout(t *testing.T, from, to string) []declaration.File {
	t.Helper()
	files := edited(t, "# Limits the instances", "# Limits instances")
	begin := strings.Index(files[0].Text, from)
	end := begin + strings.Index(files[0].Text[begin:], to) + 2
	files[0].Text = files[0].Text[:begin] + files[0].Text[end:]
	return files
}

// Guards against statements that fail while the store is down, although the instances and declarations are in memory.
func TestAnswersWhileStoreIsDown(t *testing.T) {
	b := newFixture(t)
	b.records.err = store.ErrUnavailable
	answer, p := b.query(t, readerToken, "why instance cuttingRoom-b")
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "first finding", answer.Explanation.Findings[0].Rule, "unhealthy")
	check.Equal(t, "budget", answer.Explanation.Findings[1].State, "use unknown")
	last := answer.Explanation.Findings[len(answer.Explanation.Findings)-1]
	check.Equal(t, "last finding", last.Kind+" "+last.Rule+": "+last.Figures,
		"records unreadable: budgets, waves, moves and quarantines cannot be read: store unavailable")
	var d message.Difference
	p = b.call(t, http.MethodPost, message.DiffPath, readerToken, message.Diff{Files: edited(t, "share = 60%", "share = 50%")}, &d)
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "effects", d.Effects[0].Kind+" "+d.Effects[1].Kind, "share unknown")
	_, p = b.query(t, readerToken, "show job")
	check.Equal(t, "reason", p.Reason, message.ReasonUnavailable)
}
