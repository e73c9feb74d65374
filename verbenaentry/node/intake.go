package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/intake"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/logs"
)

// IntakeFlags bound what clients can take of a process. A zero value selects the default.
type IntakeFlags struct {
	BodyMemory    int           `long:"body-memory" env:"VERBENA_BODY_MEMORY" default:"10" description:"percentage of the process's memory for the bodies of requests"`
	JobMemory     int           `long:"job-memory" env:"VERBENA_JOB_MEMORY" default:"6" description:"percentage of the process's memory for the jobs that are being stored"`
	PeerMemory    int           `long:"peer-memory" env:"VERBENA_PEER_MEMORY" default:"5" description:"percentage of the process's memory for the messages of other nodes, and as much for their calls"`
	KeptMemory    int           `long:"kept-memory" env:"VERBENA_KEPT_MEMORY" default:"24" description:"percentage of the process's memory for accepted jobs, divided by the number of pools, at most 6"`
	Connections   int           `long:"connections" env:"VERBENA_CONNECTIONS" default:"0" description:"open connections of callers; 0 derives them from the process's memory and descriptors"`
	BodyStall     time.Duration `long:"body-stall" env:"VERBENA_BODY_STALL" default:"10s" description:"time after which a body of which nothing arrives is refused"`
	BodyTimeout   time.Duration `long:"body-timeout" env:"VERBENA_BODY_TIMEOUT" default:"60s" description:"time after which a body that has not arrived whole is refused"`
	AnswerTimeout time.Duration `long:"answer-timeout" env:"VERBENA_ANSWER_TIMEOUT" default:"10s" description:"time after which the connection of a client that does not read its answer is closed"`
}

// The defaults of IntakeFlags.
const (
	defaultBodyMemory    = 10
	defaultJobMemory     = 6
	defaultPeerMemory    = 5
	defaultKeptMemory    = 24
	defaultBodyStall     = 10 * time.Second
	defaultBodyTimeout   = time.Minute
	defaultAnswerTimeout = 10 * time.Second
)

func (f IntakeFlags) withDefaults() IntakeFlags {
	return IntakeFlags{
		BodyMemory: cmp.Or(f.BodyMemory, defaultBodyMemory), JobMemory: cmp.Or(f.JobMemory, defaultJobMemory),
		PeerMemory: cmp.Or(f.PeerMemory, defaultPeerMemory), KeptMemory: cmp.Or(f.KeptMemory, defaultKeptMemory), Connections: f.Connections,
		BodyStall: cmp.Or(f.BodyStall, defaultBodyStall), BodyTimeout: cmp.Or(f.BodyTimeout, defaultBodyTimeout),
		AnswerTimeout: cmp.Or(f.AnswerTimeout, defaultAnswerTimeout),
	}
}

func (f IntakeFlags) check() error {
	// largestShare is a percentage: four such parts would leave no memory for the process itself.
	const largestShare, longest, mostConnections = 25, 10 * time.Minute, 1 << 16
	f = f.withDefaults()
	for _, e := range []struct {
		name    string
		percent int
	}{{"--body-memory", f.BodyMemory}, {"--job-memory", f.JobMemory}, {"--peer-memory", f.PeerMemory}, {"--kept-memory", f.KeptMemory}} {
		if e.percent < 1 || e.percent > largestShare {
			return fmt.Errorf("%w: %s is %d, want 1 to %d", ErrFlags, e.name, e.percent, largestShare)
		}
	}
	for _, e := range []struct {
		name string
		time time.Duration
	}{{"--body-stall", f.BodyStall}, {"--body-timeout", f.BodyTimeout}, {"--answer-timeout", f.AnswerTimeout}} {
		if e.time < time.Second || e.time > longest {
			return fmt.Errorf("%w: %s is %v, want %v to %v", ErrFlags, e.name, e.time, time.Second, longest)
		}
	}
	if f.Connections < 0 || f.Connections > mostConnections {
		return fmt.Errorf("%w: --connections is %d, want 0 to %d", ErrFlags, f.Connections, mostConnections)
	}
	return nil
}

const (
	// defaultMemoryMB and defaultMaxFDs stand for limits that the settings do not name.
	defaultMemoryMB = 256
	defaultMaxFDs   = 4096
	// reservedFDs descriptors are the platform's for files; sockets share the others.
	reservedFDs = 200
	// connectionBytes is the memory of a connection: its goroutines, the buffers of its requests and a header, which may be as large as 20 kB.
	connectionBytes = 32 << 10
	// Callers' connections may take 1/callerMemory of the memory and 1/callerSockets of the sockets, those of other nodes 1/peerSockets, those of the
	// readiness port 1/readinessSockets and calls to the store for callers and nodes 1/storeSockets. The rest is for the connections that the process opens
	// for itself.
	callerMemory        = 8
	callerSockets       = 2
	peerSockets         = 8
	storeSockets        = 8
	readinessSockets    = 16
	maxReadinessSockets = 64
	// smallBody is the size in bytes up to which a body may use the reserve, which is 1/reservePart of the room. Nearly all jobs are smaller.
	smallBody   = 16 << 10
	reservePart = 4
	// largeBody is the size in bytes of the largest body that the operator usually allows.
	largeBody = 256 << 10
	// stallTime is the time without a byte after which a body gives its room up. On a link of slowestLink bytes per second that all bodies share, each
	// gets bytes ten times as often.
	stallTime   = time.Second
	slowestLink = 10_000_000 / 8
	// rateMargin is how many times slower than its part of the slowest link a body may arrive.
	rateMargin = 4
	// roomWait bounds the time for which a body waits for room; the callers' default deadline is 3 s.
	roomWait = 2 * time.Second
	// Storing a job takes jobBytes and jobCopies times its body of memory: the decoded job, its record and the call to the store.
	jobCopies = 10
	jobBytes  = 4 << 10
	// maxPeerMessage is the size of the largest message of another node, in bytes: a transaction of some large values.
	maxPeerMessage = 8 << 20
	// One message of another node may take 1/peerMessagePart of the memory.
	peerMessagePart = 16
	// Notifications of stored jobs may take 1/noticePart of the memory.
	noticePart = 32
	// intakeLines is the number of log lines per second for each cause.
	intakeLines = 10
)

// The kernel's buffers of callers' connections and of those of other nodes. A body passes through the former as fast as through larger ones where the sender
// is some milliseconds away; messages between nodes are larger.
var (
	callerBuffers = inlet.Buffers{Receive: 16 << 10, Send: 32 << 10}
	peerBuffers   = inlet.Buffers{Receive: 32 << 10, Send: 64 << 10}
)

// clientIntake bounds what clients take of the process.
type clientIntake struct {
	flags IntakeFlags
	// connections holds the largest number of connections by listener.
	connections map[string]int
	// bodies holds bodies, jobs the jobs that are being stored.
	bodies, jobs *inlet.Room
	// messages holds the messages of other nodes, calls their calls that are being answered.
	messages, calls *inlet.Room
	// keptBytes is the memory for accepted jobs of all pools together, in bytes.
	keptBytes int64
	// maxMessage is the size of the largest message of another node, in bytes.
	maxMessage int64
	// storeCalls bounds the calls to the store for callers and other nodes, each of which takes a connection while the store does not answer.
	storeCalls *semaphore.Weighted
	// notices bounds the memory of notifications of stored jobs to noticeBytes.
	notices     *semaphore.Weighted
	noticeBytes int64
	// log limits the log lines about refused clients for each cause.
	log logs.Budgets
}

// The listeners, as metrics and log lines name them.
const (
	listenerEntry     = "entry"
	listenerReadiness = "readiness"
	listenerPeer      = "peer"
)

// longestUse is the time for which a request is handled from which on its connection makes place for a new one, by listener. Callers wait 3 s by default.
var longestUse = map[string]time.Duration{listenerEntry: 10 * time.Second, listenerReadiness: 10 * time.Second}

// newClientIntake derives the bounds from the process's memory and descriptors.
func newClientIntake(s platform.Settings, f Flags) *clientIntake {
	flags := f.Intake.withDefaults()
	memory := cmp.Or(s.MemoryMB, defaultMemoryMB) << 20
	sockets := max(cmp.Or(s.MaxFDs, defaultMaxFDs)-reservedFDs, readinessSockets)
	room := func(percent int, wait time.Duration) *inlet.Room {
		bytes := memory / 100 * int64(percent)
		return inlet.NewRoom(intake.Settings{
			Bytes: bytes, Reserve: bytes / reservePart, Small: smallBody, MaxWaiting: bytes, Stall: stallTime,
			Rate: max(slowestLink/(max(bytes/largeBody, 1)*rateMargin), 1),
		}, wait, flags.BodyStall, flags.BodyTimeout)
	}
	i := &clientIntake{
		flags: flags,
		connections: map[string]int{
			listenerEntry: cmp.Or(flags.Connections, int(min(int64(sockets/callerSockets), memory/callerMemory/connectionBytes))),
			listenerPeer:  max(sockets/peerSockets, 1), listenerReadiness: max(min(sockets/readinessSockets, maxReadinessSockets), 1),
		},
		bodies: room(flags.BodyMemory, roomWait), jobs: room(flags.JobMemory, roomWait), messages: room(flags.PeerMemory, roomWait),
		calls: room(flags.PeerMemory, roomWait), keptBytes: memory / 100 * int64(flags.KeptMemory), maxMessage: min(memory/peerMessagePart, maxPeerMessage), noticeBytes: memory / noticePart,
		log: logs.Budgets{PerSecond: intakeLines},
	}
	i.storeCalls = semaphore.NewWeighted(int64(max(sockets/storeSockets, 1)))
	i.notices = semaphore.NewWeighted(i.noticeBytes)
	return i
}

// limitListener bounds the connections of a listener.
func (n *Node) limitListener(name string, l net.Listener) *inlet.Listener {
	limited := &inlet.Listener{
		Listener: l, Limit: n.intake.connections[name], AnswerTimeout: n.intake.flags.AnswerTimeout,
		LongestUse: longestUse[name], OnRefusal: func(cause inlet.Cause, remote net.Addr) { n.countRefusal(name, string(cause), remote.String()) },
	}
	metrics.NewRegisteredFunctionalGauge("connections."+name, n.Registry, func() int64 { return int64(limited.Open()) })
	return limited
}

// limitServer bounds what the clients of a server can take.
func limitServer(s *http.Server, l *inlet.Listener) {
	s.ConnState, s.ConnContext, s.Handler = l.TrackState, inlet.ConnContext, inlet.Handler(s.Handler)
}

// peerLimits returns the bounds of the server for other nodes.
func (n *Node) peerLimits() *rpc.Limits {
	return &rpc.Limits{
		MaxMessage: n.intake.maxMessage, Messages: n.intake.messages, Calls: n.intake.calls,
		OnRefusal: func(err error, remote net.Addr) {
			if cause, _ := refusalOf(err); cause != "" {
				n.countRefusal(listenerPeer, cause, remote.String())
			}
		},
	}
}

// registerIntake registers gauges of the bytes that clients' messages hold.
func (n *Node) registerIntake() {
	for name, room := range map[string]*inlet.Room{"bodies": n.intake.bodies, "jobs": n.intake.jobs, "messages": n.intake.messages, "calls": n.intake.calls} {
		metrics.NewRegisteredFunctionalGauge("intakeBytes."+name, n.Registry, room.Held)
	}
}

// countRefusal counts a client that was refused, and logs it within the budget of its cause.
func (n *Node) countRefusal(listener, cause, remote string) {
	count(n.Registry, "refusals."+listener+"-"+cause)
	if leftOut, ok := n.intake.log.Allow(cause, time.Now()); ok {
		n.Log.Info().Int64("linesLeftOut", leftOut).Str("listener", listener).Str("cause", cause).Str("remote", remote).Msg("client refused")
	}
}

// refusalOf returns the cause that metrics and log lines name for a message that was not taken, and the status of its answer; no cause for a
// message that its client did not send whole.
func refusalOf(err error) (cause string, status int) {
	switch {
	case errors.Is(err, inlet.ErrNoRoom):
		return "noRoom", http.StatusServiceUnavailable
	case errors.Is(err, inlet.ErrGaveWay):
		return "gaveWay", http.StatusServiceUnavailable
	case errors.Is(err, inlet.ErrStalled):
		return "stalled", http.StatusRequestTimeout
	case errors.Is(err, inlet.ErrTooSlow):
		return "tooSlow", http.StatusRequestTimeout
	case errors.Is(err, inlet.ErrTooLarge):
		return "tooLarge", http.StatusRequestEntityTooLarge
	}
	return "", http.StatusBadRequest
}

// readJob reads the body of a job, and takes the memory that storing the job needs. release returns both.
func (n *Node) readJob(ctx context.Context, r *http.Request, limit int64) (content []byte, release func(), err error) {
	content, body, err := n.intake.bodies.ReadBody(ctx, r, limit)
	if err != nil {
		return nil, nil, err
	}
	job, err := n.intake.jobs.Take(ctx, jobBytes+jobCopies*int64(len(content)))
	if err != nil {
		body.Release()
		return nil, nil, err
	}
	return content, func() {
		job.Release()
		body.Release()
	}, nil
}

// refuseBody refuses a request whose body was not taken, and returns the status.
func (n *Node) refuseBody(w http.ResponseWriter, r *http.Request, err error) int {
	cause, status := refusalOf(err)
	if cause != "" {
		n.countRefusal(listenerEntry, cause, r.RemoteAddr)
	}
	w.Header().Set("Connection", "close")
	title := "the body cannot be read"
	if cause != "" {
		title = err.Error()
	}
	n.refuse(w, status, title)
	return status
}
