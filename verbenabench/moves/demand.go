package moves

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/platform"
)

// ErrDeployment is returned for an unknown deployment.
var ErrDeployment = fmt.Errorf("unknown deployment")

const (
	slots = 8
	// interval is the time between demand samples.
	interval = 10 * time.Second
	// offPeakShare is the demand outside a pool's busy hours as a share of its peak.
	offPeakShare = 0.3
	// burstFactor and quietFactor are the demand in a burst and in a gap, relative to the slow demand.
	burstFactor = 5.0
	quietFactor = 0.05
)

// demandSource is the demand on one pool: the slow demand, which has a peak each day, and bursts of seconds.
type demandSource struct {
	name string
	// peak is the highest slow demand of the day in slots.
	peak float64
	// phase is the time of the peak as a share of the day.
	phase float64
	// width is the time from the peak to the end of the busy hours as a share of the day.
	width float64
}

// slowDemand returns the slow demand at a time. It differs by up to 3 % between days.
func (s demandSource) slowDemand(at time.Duration) float64 {
	day := math.Floor(at.Hours() / 24)
	distance := math.Mod(at.Hours()/24-s.phase+1.5, 1) - 0.5
	shape := math.Max(0, math.Cos(math.Pi*math.Min(0.5, math.Abs(distance)/s.width)))
	return s.peak * (offPeakShare + (1-offPeakShare)*shape) * (1 + 0.03*math.Sin(day*2.3+s.phase*7))
}

// sample returns the demand with bursts. An eighth of the samples is far above the slow demand and an eighth is near zero.
func (s demandSource) sample(at time.Duration, random *rand.Rand) float64 {
	d := s.slowDemand(at) * (1 + 0.05*random.NormFloat64())
	switch random.IntN(8) {
	case 0:
		return d * burstFactor
	case 1:
		return d * quietFactor
	}
	return math.Max(0, d)
}

// fleet describes the pools of a deployment and their demand.
type fleet struct {
	sources     []demandSource
	declared    []declaration.Pool
	dataCentres int
	racks       int
	interval    time.Duration
	planEvery   time.Duration
}

// newFleet returns the fleet of a deployment, with guarded pools that are sized for their peak demand, and spare pools.
func newFleet(name string) (fleet, error) {
	switch name {
	case "", "cascade":
		return buildFleet([]string{"fittingDesk", "cuttingRoom", "billing", "embroidery"}, []int{9, 9, 11, 12}, "ledgerTools", 8, 3), nil
	case "tintaviva":
		return buildFleet([]string{"meterReading", "faultsAndFirmware", "deviceHistory", "consumables"}, []int{9, 9, 11, 12}, "supportTools", 8, 3), nil
	case "large":
		var names []string
		var peaks []int
		for k := range 177 {
			names = append(names, fmt.Sprintf("pool%03d", k))
			peaks = append(peaks, 12+k%20)
		}
		f := buildFleet(names, peaks, "spare00", 29, 11)
		f.planEvery = largePlanEvery
		for k := 1; k < 20; k++ {
			f.declared = append(f.declared, declaration.Pool{Name: fmt.Sprintf("spare%02d", k), Instances: 29, Slots: slots, Spare: true, Minimum: 1})
		}
		return f, nil
	}
	return fleet{}, fmt.Errorf("%w: %q", ErrDeployment, name)
}

func buildFleet(names []string, peaks []int, spare string, spareSize, dataCentres int) fleet {
	f := fleet{dataCentres: dataCentres, interval: interval, planEvery: planEvery}
	total := spareSize
	for k, n := range names {
		// The declared size serves the peak at a utilization of 85 %, and also after the loss of a rack with one instance of the pool.
		peak := math.Min(float64(peaks[k]-1)*slots, float64(peaks[k])*slots*0.85)
		f.sources = append(f.sources, demandSource{name: n, peak: peak * 0.97, phase: float64(k) / float64(len(names)), width: 0.3})
		f.declared = append(f.declared, declaration.Pool{Name: n, Instances: peaks[k], Slots: slots, Minimum: 2, Maximum: 2 * peaks[k]})
		total += peaks[k]
	}
	f.declared = append(f.declared, declaration.Pool{Name: spare, Instances: spareSize, Slots: slots, Spare: true, Minimum: 1})
	f.racks = max(4, total/4/dataCentres)
	return f
}

// pools returns the pools with their initial members, whose instances are spread over data centres and racks.
func (f fleet) pools() []move.Pool {
	var pools []move.Pool
	k := 0
	for _, d := range f.declared {
		p := move.Pool{Declared: d}
		for range d.Instances {
			dc := k % f.dataCentres
			p.Members = append(p.Members, move.Member{
				Member: budget.Member{
					ID: fmt.Sprintf("w%04d", k), Pool: d.Name,
					Location: platform.Location{Region: "r", DataCentre: fmt.Sprintf("dc%02d", dc), Rack: fmt.Sprintf("rack%03d", k/f.dataCentres%f.racks)},
				},
				InService: true,
			})
			k++
		}
		pools = append(pools, p)
	}
	return pools
}
