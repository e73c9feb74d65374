package target

import (
	"fmt"
	"io"
	"math"
	"time"
)

// stepLimit is how long a planning step at the size in two years may take.
const stepLimit = 50 * time.Millisecond

// Verdict is a target with the figure that met or missed it.
type Verdict struct {
	Target string `json:"target"`
	Met    bool   `json:"met"`
	Figure string `json:"figure"`
}

// Step is the time of one planning step at a number of workers.
type Step struct {
	Workers int           `json:"workers"`
	Step    time.Duration `json:"step"`
}

// Verdicts are the verdicts of one measurement in the order in which they were judged.
type Verdicts []Verdict

// Add appends a verdict.
func (v *Verdicts) Add(target string, met bool, figure string) {
	*v = append(*v, Verdict{Target: target, Met: met, Figure: figure})
}

// compared is the index of the size whose step is compared with that of the largest; steps at smaller sizes are too short.
const compared = 1

// Measurement is the times of one planning step at several sizes.
type Measurement struct {
	// Steps are the least times of all rounds.
	Steps []Step `json:"steps"`
	// Growth is the time of the last step divided by that of the second.
	Growth float64 `json:"growth"`
}

// AddSteps judges planning steps, of which the second is at 50 workers and the last at 4,300.
func (v *Verdicts) AddSteps(m Measurement) {
	small, large := m.Steps[compared], m.Steps[len(m.Steps)-1]
	v.Add("planning step at 4,300 workers under 50 ms", large.Step < stepLimit, large.Step.String())
	allowed := nLogN(large.Workers) / nLogN(small.Workers)
	v.Add("planning step grows no faster than n log n from 50 to 4,300 workers", m.Growth <= allowed, fmt.Sprintf("%.0f of %.0f", m.Growth, allowed))
}

func nLogN(n int) float64 { return float64(n) * math.Log2(float64(n)) }

// Print writes the steps and verdicts as lines of a table.
func Print(w io.Writer, steps []Step, verdicts Verdicts) {
	for _, s := range steps {
		fmt.Fprintf(w, "one planning step at %d workers\t%s\n", s.Workers, s.Step)
	}
	for _, v := range verdicts {
		word := "missed"
		if v.Met {
			word = "met"
		}
		fmt.Fprintf(w, "%s: %s (%s)\n", word, v.Target, v.Figure)
	}
}
