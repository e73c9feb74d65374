package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord(path string) *record {
	out, err := os.Create(path)
	if err != nil {
		unable("%v", err)
	}
	return &record{out: out, began: time.Now()}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// temporary is the folder for the settings and logs of the processes.
var temporary string

// unable ends the program with the code for a case that cannot run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	if temporary != "" {
		_ = os.RemoveAll(temporary)
	}
	os.Exit(2)
}

func serve(h http.Handler) (*http.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String()
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// entry is one entry instance.
type entry struct {
	name      string
	front     string
	readiness string
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
	log       *os.File
	// killed counts how often the stand-in of the platform killed the process.
	killed int
}

var (
	processesMu sync.Mutex
	processes   []*entry
	// stopped is true once no further process may be started.
	stopped bool
)

// start starts the process of an entry instance with the command of the deploy file.
func (s *system) start(e *entry) {
	processesMu.Lock()
	defer processesMu.Unlock()
	if stopped {
		return
	}
	words := strings.Fields(runCommand())
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENALANDING_SETTINGS=" + e.settings}
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	exited := make(chan struct{})
	e.command, e.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	if !slices.Contains(processes, e) {
		processes = append(processes, e)
	}
}

// hasEnded reports whether the process has ended without a kill by this program.
func (e *entry) hasEnded() bool {
	processesMu.Lock()
	defer processesMu.Unlock()
	if e.command == nil {
		return false
	}
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// kill ends the process of an entry instance.
func (e *entry) kill() {
	processesMu.Lock()
	defer processesMu.Unlock()
	if e.command != nil {
		_ = e.command.Process.Kill()
		<-e.exited
		e.command = nil
	}
}

// stopAll ends the processes that this program started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	stopped = true
	for _, e := range processes {
		if e.command != nil {
			_ = e.command.Process.Kill()
			<-e.exited
		}
	}
}

// system is a small deployment: the stand-ins and the entry instances.
type system struct {
	record  *record
	store   *store
	fleet   *fleet
	entries []*entry
	dir     string
	client  *http.Client
}

// runCommand reads the command of the only role from the deploy file.
func runCommand() string {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		unable("%v", err)
	}
	for line := range strings.Lines(string(content)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	unable("deploy/system.toml has no command")
	return ""
}

func newSystem(caseDir string) *system {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("%v", err)
	}
	temporary = dir
	s := &system{record: newRecord(filepath.Join(caseDir, "record.txt")), store: newStore(), dir: dir}
	s.fleet = newFleet(s.store, s.record)
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return s
}

// startEntries starts the entry instances and waits until all are ready.
func (s *system) startEntries(n int) {
	_, storeAddr := serve(s.store)
	_, cloudAddr := serve(http.HandlerFunc(s.fleet.serveMachines))
	for i := range n {
		e := &entry{name: fmt.Sprintf("front-seatac-%d", i+1)}
		e.front, e.readiness = fmt.Sprintf("127.0.0.1:%d", freePort()), fmt.Sprintf("127.0.0.1:%d", freePort())
		peer := freePort()
		settings := map[string]any{
			"NodeName": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front"}, "Ip": "127.0.0.1", "Zone": "seatac", "Region": "cascadia",
			"Zones": map[string]string{"seatac": "cascadia"}, "Listen": map[string]string{"Front": e.front, "Readiness": e.readiness},
			"PortRange": []int{peer, peer}, "Seeds": []string{}, "Bootstrap": true, "CountsAsLoss": true,
			"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
			"Contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
			"Bounds": map[string]any{
				"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
				"ConfigMs": 2000, "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RecoveryS": 12, "HoldMaxMs": holdMax.Milliseconds(), "StopMs": 200,
				"GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 3,
				"CheckpointIntervalS": 1, "RestoreMs": 250, "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2, "RequireFence": false, "LeaseMs": 3000,
				"ThawMs": 300, "PaceMs": 100, "HarmMs": 4000,
			},
			"Orders":   "rpc",
			"platform": map[string]any{"Address": storeAddr, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
			"CloudApi": map[string]any{"Address": cloudAddr, "RatePerS": 64.0, "Duties": []string{}, "CallsPerS": 64.0},
		}
		content, err := json.Marshal(settings)
		if err == nil {
			e.settings = filepath.Join(s.dir, e.name+".json")
			err = os.WriteFile(e.settings, content, 0o600)
		}
		if err == nil {
			e.log, err = os.Create(filepath.Join(s.dir, e.name+".log"))
		}
		if err != nil {
			unable("%v", err)
		}
		s.start(e)
		s.entries = append(s.entries, e)
	}
	end := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for !s.ready(e) {
			if time.Now().After(end) {
				unable("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.record.note("%d entry instances are ready", n)
}

func (s *system) ready(e *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readiness+"/api/ready", nil)
	answer, err := s.client.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

const (
	requestDeadline = 3000 * time.Millisecond
	host            = "pule25.example"
)

// send sends a client's request to an entry instance; status is 0 without an answer in time.
func (s *system) send(e *entry, method, path string, body any) (status int, answer string) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(content))
	if err != nil {
		unable("%v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Request-Deadline", fmt.Sprint(requestDeadline.Milliseconds()))
	a, err := s.client.Do(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		status, answer = a.StatusCode, strings.TrimSpace(string(b))
	}
	if err != nil {
		status, answer = 0, err.Error()
	}
	s.record.note("client: %s %s at %s -> %d %s", method, path, e.name, status, answer)
	return status, answer
}

// submit sends a job, and sends it again at another instance as clients do, until it is accepted.
func (s *system) submit(prefix string, j *job) {
	s.fleet.addJob(j)
	for i := range 5 {
		if status, _ := s.send(s.entries[i%len(s.entries)], http.MethodPost, prefix+j.id, j.jobBody); status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	unable("job %s was not accepted", j.id)
}

// state asks each instance in turn for a job's state, up to the first answer.
func (s *system) state(prefix, id string) (status int, answer string) {
	for _, e := range s.entries {
		if status, answer = s.send(e, http.MethodGet, prefix+id, nil); status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			return status, answer
		}
	}
	return status, answer
}

func (s *system) configure(version int, routes []route, services []service) {
	s.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.record.note("operator: version %d of the configuration is acknowledged", version)
	for _, r := range routes {
		s.record.note("operator:   route %s: %s%s to %s", r.Name, r.Hostname, r.Prefix, r.Backend)
	}
}

type route struct {
	Name, Hostname, Prefix, Type string
	TimeoutMs, TargetDurationMs  int
	Priority                     int
	Backend                      string
	MaxAttempts                  int
	Stretch                      float64
}

type service struct {
	Name           string
	HealthPath     string
	MaxConns       int
	Protocol       string
	Tls            bool
	AdmissionCheck bool
	Standby        bool
}

func newRoute(name, prefix, backend string) route {
	return route{
		Name: name, Hostname: host, Prefix: prefix, Type: "non_idempotent", TimeoutMs: 3000, TargetDurationMs: 600, Backend: backend, MaxAttempts: 4, Stretch: 1.6,
	}
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 64, Protocol: "h1", AdmissionCheck: true}
}

// finish ends the processes and the program: 0 if the rule held, 1 if it was broken.
func (s *system) finish(broken []string) {
	for _, b := range broken {
		s.record.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) == 0 {
		s.record.note("held")
		fmt.Println("held")
	}
	crashed := false
	for _, e := range s.entries {
		if e.hasEnded() {
			crashed = true
			s.record.note("%s has ended by itself", e.name)
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.dir)
	}
	stopAll()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	if crashed {
		os.Exit(2)
	}
	os.Exit(0)
}

func main() {
	if len(os.Args) != 3 {
		unable("usage: rig CASE FOLDER")
	}
	signals := make(chan os.Signal, 1)
	notify(signals)
	go func() {
		<-signals
		unable("interrupted")
	}()
	run := cases[os.Args[1]]
	if run == nil {
		unable("no case %s", os.Args[1])
	}
	time.AfterFunc(115*time.Second, func() { unable("the case took too long") })
	run(newSystem(os.Args[2]), os.Getenv("TROUBLE") != "0")
}
