package maintenance

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/standin"
)

func badFirmware(bad bool) func(string, string) bool {
	return func(string, string) bool { return bad }
}

// rare is true in one of four draws, so that waves and moves make progress between failures.
func rare(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rare") == 0 }

func (f *fleetFuzz) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { f.checkInterruptions() },
		"advance": func(t *rapid.T) {
			h := f.pickHolder(t, "holder")
			for range rapid.IntRange(1, 12).Draw(t, "calls") {
				h.advance()
			}
		},
		"steps": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				f.pickHolder(t, "holder").finish()
				f.burst(rapid.SampledFrom(f.entries).Draw(t, "entry"), rapid.IntRange(-1, 1).Draw(t, "requests"))
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			}
		},
		"round": func(t *rapid.T) { f.round(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second) },
		"interleave": func(t *rapid.T) {
			for k := range rapid.IntRange(1, 60).Draw(t, "calls") {
				f.pickHolder(t, "holder").advance()
				if k%10 == 9 {
					f.burst(rapid.SampledFrom(f.entries).Draw(t, "entry"), rapid.IntRange(-1, 1).Draw(t, "requests"))
				}
			}
		},
		"tick": func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
		},
		"sync":  func(t *rapid.T) { f.syncEntries(rapid.SampledFrom(f.entries).Draw(t, "entry")) },
		"fault": func(t *rapid.T) { f.pickHolder(t, "holder").nextFault = fault(rapid.IntRange(1, 3).Draw(t, "fault")) },
		"late": func(t *rapid.T) {
			if len(f.lateWrites) == 0 {
				return
			}
			k := rapid.IntRange(0, len(f.lateWrites)-1).Draw(t, "write")
			l := f.lateWrites[k]
			f.lateWrites = slices.Delete(f.lateWrites, k, k+1)
			_, _ = f.put(l.holder, l.request, l.writesAtStart)
		},
		"takeOver": func(t *rapid.T) { f.takeOver(f.pickHolder(t, "duty").duty) },
		"kill": func(t *rapid.T) {
			h := f.pickHolder(t, "holder")
			h.kill()
			f.takeOver(h.duty)
		},
		"resume": func(t *rapid.T) {
			if len(f.superseded) == 0 {
				return
			}
			h := rapid.SampledFrom(f.superseded).Draw(t, "superseded")
			for range rapid.IntRange(1, 30).Draw(t, "calls") {
				h.advance()
			}
		},
		"request": func(t *rapid.T) {
			f.request(rapid.SampledFrom(f.entries).Draw(t, "entry"), f.anyInstance(t), 1)
		},
		"abandonRequest": func(t *rapid.T) {
			// The entry instance abandons the request while the backend server continues to run it.
			e, id := rapid.SampledFrom(f.entries).Draw(t, "entry"), f.anyInstance(t)
			if e.inFlight[id] > 0 {
				e.inFlight[id]--
				f.orphanedRequests[id]++
			}
		},
		"response": func(t *rapid.T) {
			f.request(rapid.SampledFrom(f.entries).Draw(t, "entry"), f.anyInstance(t), -1)
		},
		"failInstance": func(t *rapid.T) {
			if !rare(t) {
				return
			}
			id := f.anyInstance(t)
			f.fail(func(i platform.Instance) bool { return i.ID == id })
		},
		"failRack": func(t *rapid.T) {
			if !rare(t) {
				return
			}
			rack := rapid.SampledFrom([]string{"k0", "k1", "k2", "k3"}).Draw(t, "rack")
			f.fail(func(i platform.Instance) bool { return i.Location.Rack == rack })
		},
		"failDataCentre": func(t *rapid.T) {
			if !rare(t) {
				return
			}
			dc := rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "dataCentre")
			f.fail(func(i platform.Instance) bool { return i.Location.DataCentre == dc })
		},
		"recover": func(*rapid.T) {
			f.control.SetHealthy(true, func(i platform.Instance) bool { return !i.Healthy })
		},
		"platform": func(t *rapid.T) {
			f.control.SetFaults(standin.ControlFaults{
				Down: rapid.IntRange(0, 9).Draw(t, "down") == 0, DuplicateCommands: rapid.Bool().Draw(t, "double"),
				LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost"), Lag: time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * time.Second,
				BadFirmware: badFirmware(rapid.IntRange(0, 4).Draw(t, "firmware") == 0),
				NoReturn:    map[string]bool{f.anyInstance(t): rapid.Bool().Draw(t, "noReturn")},
			})
		},
		"operator": func(t *rapid.T) {
			name := rapid.SampledFrom([]string{"reboot", "kernel"}).Draw(t, "wave")
			w := f.set.Waves[name]
			w.Paused = rapid.Bool().Draw(t, "paused")
			f.set.Waves[name] = w
		},
		"demand": func(t *rapid.T) { f.demand = rapid.Float64Range(0, 60).Draw(t, "slots") },
	}
}
