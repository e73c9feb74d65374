package target

import (
	"fmt"
	"io"
	"math"
	"time"
)

// stepLimit is the time limit of a planning step at the fleet size expected in two years.
const stepLimit = 50 * time.Millisecond

// Verdict is a target, the measured figure, and whether the figure meets the target.
type Verdict struct {
	Target string `json:"target"`
	Met    bool   `json:"met"`
	Figure string `json:"figure"`
}

// Step is the time of one planning step for a number of workers.
type Step struct {
	Workers int           `json:"workers"`
	Step    time.Duration `json:"step"`
}

// Verdicts are the verdicts of one measurement in the order in which they were added.
type Verdicts []Verdict

// Add appends a verdict.
func (v *Verdicts) Add(target string, met bool, figure string) {
	*v = append(*v, Verdict{Target: target, Met: met, Figure: figure})
}

// referenceSize is the index of the size whose step is compared with that of the largest size. Steps at smaller sizes are too short to
// compare.
const referenceSize = 1

// Measurement holds the times of one planning step at several sizes.
type Measurement struct {
	// Steps holds the shortest time of all rounds for each size.
	Steps []Step `json:"steps"`
	// Growth is the time of the step at the largest size divided by that at the second size.
	Growth float64 `json:"growth"`
}

// AddSteps adds the verdicts on the planning steps. The second step must be for 50 workers and the last for 4,300.
func (v *Verdicts) AddSteps(m Measurement) {
	small, large := m.Steps[referenceSize], m.Steps[len(m.Steps)-1]
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
		verdict := "missed"
		if v.Met {
			verdict = "met"
		}
		fmt.Fprintf(w, "%s: %s (%s)\n", verdict, v.Target, v.Figure)
	}
}
