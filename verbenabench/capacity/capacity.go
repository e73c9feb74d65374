package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Capacity measures each quantity at three or more sizes. Set the exported fields before Run.
type Capacity struct {
	Seed int64
	JSON bool
	Out  io.Writer
}

// Point is the measured cost at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a quantity that grows with a size, with a prediction for the size expected in two years and the limit for it.
type Slope struct {
	Quantity string  `json:"quantity"`
	Role     string  `json:"role"`
	Per      string  `json:"per"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	// Slope and Intercept describe the least squares line through the points.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Exponent is the growth from the first to the last point as a power of the size.
	Exponent  float64 `json:"exponent"`
	Target    float64 `json:"target"`
	Predicted float64 `json:"predicted"`
	Limit     float64 `json:"limit"`
	Mechanism string  `json:"mechanism"`
}

// fitLine calculates the least squares line, the exponent and the prediction.
func (s *Slope) fitLine() {
	var sizes, costs []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
		costs = append(costs, p.Cost)
	}
	s.Intercept, s.Slope = stat.LinearRegression(sizes, costs, nil, false)
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	s.Exponent = math.Log(last.Cost/first.Cost) / math.Log(last.Size/first.Size)
	s.Predicted = s.Intercept + s.Slope*s.Target
}

// Met reports whether the prediction is within the limit. A limit of 0 means no limit.
func (s *Slope) Met() bool { return s.Limit == 0 || s.Predicted <= s.Limit }

// Run measures everything and prints a table.
func (c *Capacity) Run(ctx context.Context) error {
	slopes, err := c.Measure(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(c.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(slopes)
	}
	return c.print(slopes)
}

// Measure returns all slopes.
func (c *Capacity) Measure(ctx context.Context) ([]Slope, error) {
	var slopes []Slope
	for _, measure := range []func(context.Context) ([]Slope, error){
		c.configuration, c.configurationDelay, c.mirrors, c.heartbeats, c.drains, c.duties, c.claims, c.poolMemory, c.wholeProcess,
	} {
		measured, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, measured...)
	}
	for i := range slopes {
		slopes[i].fitLine()
	}
	return slopes, nil
}

func (c *Capacity) print(slopes []Slope) error {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "quantity\trole\tunit\tpoints (size: cost)\tslope\tgrowth\tsize in two years\tpredicted\tlimit\tverdict")
	for _, s := range slopes {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.0f: %.4g  ", p.Size, p.Cost)
		}
		verdict := "met"
		if !s.Met() {
			verdict = "missed"
		}
		limit := "-"
		if s.Limit > 0 {
			limit = fmt.Sprintf("%.4g", s.Limit)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.3g per %s\tn^%.2f\t%.0f\t%.4g\t%s\t%s\n",
			s.Quantity, s.Role, s.Unit, points, s.Slope, s.Per, s.Exponent, s.Target, s.Predicted, limit, verdict)
	}
	return w.Flush()
}
