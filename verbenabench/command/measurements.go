package command

import (
	"cmp"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/verbenabench/assignment"
	"verbenalanding.example/verbenabench/capacity"
	"verbenalanding.example/verbenabench/days"
	"verbenalanding.example/verbenabench/entry"
	"verbenalanding.example/verbenabench/flood"
	"verbenalanding.example/verbenabench/gaps"
	"verbenalanding.example/verbenabench/jobload"
	"verbenalanding.example/verbenabench/moves"
	"verbenalanding.example/verbenabench/overload"
	"verbenalanding.example/verbenabench/placement"
	"verbenalanding.example/verbenabench/planstep"
	"verbenalanding.example/verbenabench/platform"
	"verbenalanding.example/verbenabench/rollout"
	"verbenalanding.example/verbenabench/soak"
)

type subcommand struct {
	name, short string
	command     flags.Commander
}

func subcommands(s streams) []subcommand {
	return []subcommand{
		{"flood", "Overload the pools of a deployment and compare the policy with its baselines", &floodCommand{streams: s}},
		{"entry", "Compare an entry instance that forwards callers' HTTP requests with a plain forwarder", &entryCommand{streams: s}},
		{"rollout", "Run maintenance waves and compare them with one instance at a time", &rolloutCommand{streams: s}},
		{"moves", "Move instances with demand and compare with static pools and a threshold rule", &movesCommand{streams: s}},
		{"assignment", "Compare a balanced stream assignment with shared dispatch", &assignmentCommand{streams: s}},
		{"placement", "Place jobs and compare the policy with first fit", &placementCommand{streams: s}},
		{"steps", "Measure the steps of the scheduler of a pool, by its number of workers", &stepsCommand{streams: s}},
		{"estimates", "Compare the estimated starts of explained jobs with the actual ones", &estimatesCommand{streams: s}},
		{"gaps", "Compare the waits of tasks by size with reservations for large ones, without, and with all run times known", &gapsCommand{streams: s}},
		{"overload", "Compare orders of waiting work and rules of refusal in a pool that workspaces share", &overloadCommand{streams: s}},
		{"capacity", "Measure the slopes that docs/CAPACITY.md uses", &capacityCommand{streams: s}},
		{"soak", "Run entry instances as processes under random faults and check the promises", &soakCommand{streams: s}},
		{"days", "Simulate whole days of entry instances under random faults and check the promises", &daysCommand{streams: s}},
		{"jobs", "Submit jobs to entry instances that run against the stand-in of the users' platform", &jobsCommand{streams: s}},
		{"platform", "Serve the stand-ins of the platform over TCP until interrupted", &platformCommand{streams: s}},
	}
}

// commonFlags holds the flags of every measurement.
type commonFlags struct {
	Seed int64 `long:"seed" default:"1" description:"seed of all random numbers"`
	JSON bool  `long:"json" description:"print the report as JSON"`
}

// deploymentFlags holds the flags of measurements of one deployment.
type deploymentFlags struct {
	commonFlags
	Deployment string `long:"deployment" default:"cascade" description:"deployment to measure"`
}

type jobsCommand struct {
	streams
	commonFlags
	Nodes       int           `long:"nodes" default:"3" description:"number of entry instances"`
	Machines    int           `long:"machines" default:"8" description:"number of machines in the pool"`
	PerSecond   float64       `long:"per-second" default:"20" description:"number of jobs submitted per second"`
	Duration    time.Duration `long:"duration" default:"5s" description:"time for which jobs are submitted"`
	KillHolders bool          `long:"kill-holder" description:"also measure a run in which the pool's holder is killed halfway"`
}

// Execute runs the measurement.
func (c *jobsCommand) Execute([]string) error {
	l := jobload.Load{
		Seed: uint64(c.Seed), Nodes: c.Nodes, Machines: c.Machines, PerSecond: c.PerSecond, Duration: c.Duration, KillHolders: c.KillHolders,
	}
	rows, err := l.Run(c.ctx)
	if err != nil {
		return err
	}
	return jobload.Write(c.out, rows, c.JSON)
}

type soakCommand struct {
	streams
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     int           `long:"seeds" default:"1" description:"number of consecutive seeds"`
	Duration  time.Duration `long:"time" default:"10s" description:"time per seed in which faults are injected"`
	Nodes     int           `long:"nodes" description:"number of entry instances, each a process; 4, 7 or 10, depending on the seed, if not given"`
	Machines  int           `long:"machines" default:"8" description:"number of machines in the first pool; the second pool has half as many"`
	PerSecond float64       `long:"per-second" default:"10" description:"number of jobs submitted per second"`
	Program   string        `long:"program" description:"path of the entry instance's program; built if not given"`
	KeepFiles bool          `long:"keep" description:"keep logs and settings even if no promise was broken"`
}

// Execute runs the seeds and returns an error if one broke a promise.
func (c *soakCommand) Execute([]string) error {
	var failed error
	for i := range c.Seeds {
		s := &soak.Soak{
			Seed: c.Seed + uint64(i), Duration: c.Duration, Nodes: c.Nodes, Machines: c.Machines, PerSecond: c.PerSecond, Program: c.Program,
			KeepFiles: c.KeepFiles, Out: c.out,
		}
		failed = cmp.Or(failed, s.Run(c.ctx))
		if c.ctx.Err() != nil {
			break
		}
	}
	return failed
}

type daysCommand struct {
	streams
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Days     int           `long:"days" default:"10" description:"number of days, with consecutive seeds"`
	Plays    int           `long:"plays" default:"1" description:"number of simulations of each day; its faults and jobs are the same each time, the order of goroutines is not"`
	Duration time.Duration `long:"time" default:"44s" description:"simulated time per day in which faults are injected"`
	Folder   string        `long:"folder" description:"existing folder for the logs of simulations that broke a promise; a temporary folder if not given"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
}

// Execute simulates the days and returns an error if one broke a promise.
func (c *daysCommand) Execute([]string) error {
	d := &days.Days{Seed: c.Seed, Count: c.Days, Plays: c.Plays, Duration: c.Duration, Folder: c.Folder, JSON: c.JSON, Out: c.out}
	if err := d.Check(); err != nil {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: err.Error()}
	}
	return d.Run(c.ctx)
}

type floodCommand struct {
	streams
	deploymentFlags
}

// Execute runs the measurement.
func (c *floodCommand) Execute([]string) error {
	f := &flood.Flood{Deployment: c.Deployment, Seed: c.Seed, JSON: c.JSON, Out: c.out}
	return f.Run(c.ctx)
}

type entryCommand struct {
	streams
	commonFlags
	Duration time.Duration `long:"duration" default:"20s" description:"total time of all phases over loopback"`
}

// Execute runs the measurement.
func (c *entryCommand) Execute([]string) error {
	e := &entry.Entry{Seed: c.Seed, JSON: c.JSON, Out: c.out, Duration: c.Duration}
	return e.Run(c.ctx)
}

type rolloutCommand struct {
	streams
	deploymentFlags
}

// Execute runs the measurement.
func (c *rolloutCommand) Execute([]string) error {
	r := &rollout.Benchmark{Deployment: c.Deployment, Seed: c.Seed, JSON: c.JSON, Out: c.out}
	return r.Run(c.ctx)
}

type movesCommand struct {
	streams
	deploymentFlags
}

// Execute runs the measurement.
func (c *movesCommand) Execute([]string) error {
	m := &moves.Benchmark{Deployment: c.Deployment, Seed: c.Seed, JSON: c.JSON, Out: c.out}
	return m.Run(c.ctx)
}

type assignmentCommand struct {
	streams
	deploymentFlags
}

// Execute runs the measurement.
func (c *assignmentCommand) Execute([]string) error {
	a := &assignment.Assignment{Deployment: c.Deployment, Seed: c.Seed, JSON: c.JSON, Out: c.out}
	return a.Run(c.ctx)
}

type placementCommand struct {
	streams
	deploymentFlags
	Seeds int `long:"seeds" default:"1" description:"number of consecutive seeds over which the policy's results are summed up"`
}

// Execute runs the measurement.
func (c *placementCommand) Execute([]string) error {
	b := &placement.Benchmark{Deployment: c.Deployment, Seed: c.Seed, Seeds: c.Seeds, JSON: c.JSON, Out: c.out}
	return b.Run(c.ctx)
}

type stepsCommand struct {
	streams
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random numbers"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
	Workers []int  `long:"workers" default:"540" default:"1500" default:"4300" description:"numbers of workers to measure"`
	Waiting int    `long:"waiting" default:"2000" description:"number of tasks that wait before each step"`
	Steps   int    `long:"steps" default:"200" description:"number of measured steps of each row"`
}

// Execute runs the measurement.
func (c *stepsCommand) Execute([]string) error {
	if len(c.Workers) == 0 || slices.Min(c.Workers) < 1 || c.Waiting < 1 || c.Steps < 1 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--workers, --waiting and --steps must be at least 1"}
	}
	b := &planstep.Bench{Seed: c.Seed, Workers: c.Workers, Waiting: c.Waiting, Steps: c.Steps, JSON: c.JSON, Out: c.out}
	return b.Run(c.ctx)
}

type estimatesCommand struct {
	streams
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random numbers"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
	Workers []int  `long:"workers" default:"50" default:"540" description:"numbers of workers to measure"`
}

// Execute runs the measurement.
func (c *estimatesCommand) Execute([]string) error {
	if len(c.Workers) == 0 || slices.Min(c.Workers) < 1 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--workers must be at least 1"}
	}
	e := &planstep.Estimates{Seed: c.Seed, Workers: c.Workers, JSON: c.JSON, Out: c.out}
	return e.Run(c.ctx)
}

type gapsCommand struct {
	streams
	commonFlags
	Days       int     `long:"days" default:"3" description:"number of drawn days of each pool and load"`
	Workers    int     `long:"workers" default:"24" description:"number of workers of the pool"`
	Offline    bool    `long:"offline" description:"also place the days with all run times known"`
	LargeTask  float64 `long:"large-task" default:"0.25" description:"share of a worker from which on a waiting task gets a reservation"`
	SecondRuns float64 `long:"second-runs" default:"1" description:"multiple of the time of 95 in 100 runs of a kind from which on a second run is started"`
}

// Execute runs the measurement.
func (c *gapsCommand) Execute([]string) error {
	if c.Workers < 1 || c.Days < 1 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--workers and --days must be at least 1"}
	}
	b := &gaps.Bench{
		Seed: uint64(c.Seed), Days: c.Days, Workers: c.Workers, Offline: c.Offline, JSON: c.JSON, Out: c.out,
		Settings: dispatch.Settings{LargeTask: c.LargeTask, SecondRuns: c.SecondRuns},
	}
	return b.Run(c.ctx)
}

type capacityCommand struct {
	streams
	commonFlags
}

// Execute runs the measurement.
func (c *capacityCommand) Execute([]string) error {
	m := &capacity.Capacity{Seed: c.Seed, JSON: c.JSON, Out: c.out}
	return m.Run(c.ctx)
}

type platformCommand struct {
	streams
	platform.Server
}

// Execute serves until interrupted.
func (c *platformCommand) Execute([]string) error {
	c.Out = c.out
	return c.Run(c.ctx)
}

type overloadCommand struct {
	streams
	commonFlags
	Seeds int `long:"seeds" default:"5" description:"number of consecutive seeds that are added up"`
}

// Execute runs the measurement.
func (c *overloadCommand) Execute([]string) error {
	o := &overload.Overload{Seed: uint64(c.Seed), Seeds: c.Seeds, JSON: c.JSON, Out: c.out}
	return o.Run(c.ctx)
}
