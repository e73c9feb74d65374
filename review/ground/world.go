package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// world is the platform with its workers and clients, and the processes of the project that run beside it.
type world struct {
	mu       sync.Mutex
	connMu   sync.Mutex
	kv       *kv
	machines map[string]*machine
	workers  []*worker
	jobs     map[string]*job
	standby  string
	trouble  bool
	// lost selects the machine orders whose answers are lost.
	lost func(m *machine, from, what string) bool
	// onWrite is called, with the lock held, after a transaction of a node was applied and before it is answered.
	onWrite func(node string, t txn)
	// delay returns by how much later an unanswered write is carried out; it is called with the lock held.
	delay      func(t txn) time.Duration
	lastWorker int
	record     *os.File
	began      time.Time
	broken     []string
	// away holds the tasks that an order has ended and that are not at work again.
	away       map[string]time.Time
	notWorking map[string]time.Time
	nodes      []*proc
	dir        string
	// stopped is true once no process may be started any more; processes guards it.
	stopped   bool
	processes sync.Mutex
	storeAddr string
	cloudAddr string
	client    *http.Client
	version   int

	// What follows is for the soak.
	soak   bool
	random *rand.Rand
	f      faults
	done   map[string]bool
	// doneNoted holds the tasks of which an end done was taken note of.
	doneNoted               map[string]bool
	doneAt                  map[string]time.Time
	startedAt               map[string]time.Time
	failedRuns, failedNoted map[string]int
	lasting, waveMax        int
	waveOf                  []string
	waveSeen                bool
	// movedTo holds the pools to which the operator has moved queues.
	movedTo map[string]string
}

type proc struct {
	name, entry, ready, log string
	cmd                     *exec.Cmd
}

const host = "pule25.example"

func newWorld(record *os.File, trouble bool) *world {
	return &world{
		kv: newKV(), machines: map[string]*machine{}, jobs: map[string]*job{}, trouble: trouble, record: record, began: time.Now(),
		done: map[string]bool{}, doneNoted: map[string]bool{}, doneAt: map[string]time.Time{}, startedAt: map[string]time.Time{}, failedRuns: map[string]int{},
		failedNoted: map[string]int{},
		away:        map[string]time.Time{}, notWorking: map[string]time.Time{}, client: &http.Client{Timeout: 4 * time.Second},
	}
}

// say writes a line of the record; the lock of the world is held.
func (w *world) say(format string, v ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, v...))
}

func (w *world) tell(format string, v ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.say(format, v...)
}

func (w *world) breaks(rule, format string, v ...any) {
	line := rule + ": " + fmt.Sprintf(format, v...)
	w.broken = append(w.broken, line)
	w.say("BROKEN %s", line)
}

// fatal ends the case as one that could not run.
func (w *world) fatal(format string, v ...any) {
	fmt.Fprintf(w.record, "CANNOT RUN: %s\n", fmt.Sprintf(format, v...))
	w.stop()
	os.Exit(2)
}

func (w *world) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	})
}

func (k *worker) sortedRuns() []*run {
	var list []*run
	for _, r := range k.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

// orderEnds applies the rule AVAIL to a run that an order ends on a sound worker that is not draining.
func (w *world) orderEnds(k *worker, x *run, what string) {
	now := time.Now()
	if !x.step.LongRunning || x.step.MayMiss == 0 || x.job.cancelled || x.job.cancelSent || x.percent(now) < 100 {
		return
	}
	part := strings.Split(x.task, ".")
	var others []string
	for i := range x.step.Count {
		other := fmt.Sprintf("%s.%s.%s.%d", part[0], part[1], part[2], i)
		if other == x.task {
			continue
		}
		if _, ended := w.away[other]; ended {
			others = append(others, other+" (ended by an order)")
		} else if since, ok := w.notWorking[other]; ok && now.Sub(since) >= noticeMs {
			others = append(others, other+" (not at work for NoticeMs)")
		}
	}
	w.away[x.task] = now
	if len(others) >= x.step.MayMiss {
		w.breaks("AVAIL", "%s on %s ends task %s, which is at work, while %d others of its step are away, MayMiss is %d: %s",
			what, k.m.id, x.task, len(others), x.step.MayMiss, strings.Join(others, ", "))
	}
}

// tick ends leases and runs, and notes which tasks are at work.
func (w *world) tick() {
	for range time.Tick(10 * time.Millisecond) {
		now := time.Now()
		w.mu.Lock()
		w.kv.expire(now)
		if w.soak {
			w.checkWave()
		}
		for _, k := range w.workers {
			k.tick(now)
		}
		for id, j := range w.jobs {
			for s := range j.Steps {
				if !j.Steps[s].LongRunning || j.accepted.IsZero() {
					continue
				}
				for i := range j.Steps[s].Count {
					w.noteWork(fmt.Sprintf("%s.0.%d.%d", id, s, i), now)
				}
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) noteWork(task string, now time.Time) {
	for _, k := range w.workers {
		if x := k.runs[task]; k.up && x != nil && x.percent(now) == 100 {
			if _, was := w.away[task]; was {
				w.say("task %s is at work again", task)
			}
			delete(w.away, task)
			delete(w.notWorking, task)
			return
		}
	}
	if _, ok := w.notWorking[task]; !ok {
		w.notWorking[task] = now
	}
}

func (w *world) listen(h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// pool adds machines to a pool.
func (w *world) pool(name string, count int, cpu, mem int64) {
	for i := range count {
		m := &machine{id: fmt.Sprintf("m-%s-%d", name, i), pool: name, rack: fmt.Sprintf("r-%s-%d", name, i/4), state: "up", cpu: cpu, mem: mem, waves: map[string]bool{}}
		w.machines[m.id] = m
		if name != w.standby {
			w.newWorker(m)
		}
	}
}

// configure writes the operator's configuration: one queue for each pool that is not on standby.
func (w *world) configure(pools ...string) {
	w.version += 3
	routes, services := []map[string]any{}, []map[string]any{}
	for _, p := range pools {
		services = append(services, map[string]any{"Name": p, "AdmissionCheck": true, "Standby": p == w.standby})
		if p != w.standby {
			backend := p
			if to := w.movedTo[p]; to != "" {
				backend = to
			}
			routes = append(routes, map[string]any{"Name": "q-" + p, "Hostname": host, "Prefix": "/" + p + "/", "Type": "queue", "Backend": backend, "TimeoutMs": 3000,
				"Priority": 0, "MaxAttempts": 4, "Stretch": 1.6, "TargetDurationMs": 600})
		}
	}
	w.kv.put("op/config", map[string]any{"Version": w.version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxBodyBytes": 262144, "HeaderTimeoutMs": 2000, "IdleTimeoutMs": 15000}})
}

// nextPort is the port that freePorts tries next. Cases that run beside each other begin with different ones.
var nextPort = 10000 + os.Getpid()*31%20000

// freePorts returns ports on which nothing listens, below those that the system gives to outgoing connections.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n && tries < 1000; tries++ {
		port := nextPort
		if nextPort++; nextPort >= 30000 {
			nextPort = 10000
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

// gate opens an address of the store for one node.
func (w *world) gate(node string) string {
	return w.listen(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		how := w.f.cutNodes[node]
		w.mu.Unlock()
		switch how {
		case "busy":
			rw.WriteHeader(503)
		case "many":
			rw.WriteHeader(429)
		case "reset":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			w.serveStore(rw, r.WithContext(context.WithValue(r.Context(), nodeKey{}, node)))
		}
	})
}

// nodeKey is the key of a call's context with the node that sent it.
type nodeKey struct{}

// startNodes starts processes of the project with the command of the deploy file and waits until they are ready.
func (w *world) startNodes(n int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		w.fatal("%v", err)
	}
	w.dir = dir
	for i := range n {
		ports, err := freePorts(3)
		if err != nil {
			w.fatal("%v", err)
		}
		name := fmt.Sprintf("front-%d", i+1)
		addr := func(p int) string { return fmt.Sprintf("127.0.0.1:%d", p) }
		settings := map[string]any{
			"NodeName": name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front"}, "Ip": "127.0.0.1", "Zone": "z1", "Region": "r1",
			"Zones": map[string]string{"z1": "r1"}, "Listen": map[string]string{"Front": addr(ports[0]), "Readiness": addr(ports[1])},
			"PortRange": []int{ports[2], ports[2]}, "Bootstrap": true, "DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
			"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
			"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"Bounds": map[string]any{"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
				"ConfigMs": 2000, "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RecoveryS": 12, "HoldMaxMs": 6000, "StopMs": 200, "GangTimeoutMs": 3000, "cancel_ms": 3000,
				"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 3, "CheckpointIntervalS": 1, "RestoreMs": 250, "NoticeMs": 4500, "MoveS": 1.5,
				"UpkeepS": 2, "RequireFence": false, "LeaseMs": 3000, "ThawMs": 300, "PaceMs": 100, "HarmMs": 4000},
			"Orders":   "rpc",
			"platform": map[string]any{"Address": w.gate(name), "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
			"CloudApi": map[string]any{"Address": w.cloudAddr, "RatePerS": 64.0, "Duties": []string{}, "CallsPerS": 64.0},
		}
		content, _ := json.MarshalIndent(settings, "", " ")
		path := filepath.Join(dir, name+".json")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			w.fatal("%v", err)
		}
		log, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			w.fatal("%v", err)
		}
		cmd := exec.Command("target/verbenaentry")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "VERBENALANDING_SETTINGS=" + path}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			w.fatal("start verbenaentry: %v", err)
		}
		w.nodes = append(w.nodes, &proc{name, addr(ports[0]), addr(ports[1]), log.Name(), cmd})
	}
	for _, p := range w.nodes {
		until := time.Now().Add(10 * time.Second)
		for {
			r, err := w.client.Get("http://" + p.ready + "/api/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				w.fatal("%s is not ready", p.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.tell("%d processes are ready", n)
}

// stop ends the processes that the case started, and removes their folder.
func (w *world) stop() {
	w.processes.Lock()
	w.stopped = true
	w.processes.Unlock()
	for _, p := range w.nodes {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// call sends a client's request to a node.
func (w *world) call(node int, method, path string, body any) (int, []byte) {
	var content io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		content = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+w.nodes[node%len(w.nodes)].entry+path, content)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Request-Deadline", "3000")
	a, err := w.client.Do(r)
	if err != nil {
		w.tell("client: %s %s to %s: %v", method, path, w.nodes[node%len(w.nodes)].name, err)
		return 0, nil
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	w.tell("client: %s %s to %s: %d %s", method, path, w.nodes[node%len(w.nodes)].name, a.StatusCode, strings.TrimSpace(string(b)))
	return a.StatusCode, b
}

// submit hands a job in until it is accepted, as a client does.
func (w *world) submit(pool, id string, j *job) {
	j.id, j.pool = id, pool
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for i := range 50 {
		if status, _ := w.call(i, http.MethodPost, "/"+pool+"/"+id, j); status == 200 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.fatal("job %s is not accepted", id)
}

// await waits until a condition holds, which is read under the lock.
func (w *world) await(what string, limit time.Duration, holds func() bool) {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			w.tell("seen: %s", what)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.fatal("not seen in %v: %s", limit, what)
}

// working counts the tasks of a job's step that are at work.
func (w *world) working(id string) int {
	n := 0
	for _, k := range w.workers {
		for _, x := range k.runs {
			if k.up && x.job.id == id && x.percent(time.Now()) == 100 {
				n++
			}
		}
	}
	return n
}
