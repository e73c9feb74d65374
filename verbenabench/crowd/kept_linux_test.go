//go:build crowd

package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
)

// farFuture is a time at which no test is running, in milliseconds since 1970.
const farFuture = 7_000_000_000_000

// largeSpecification is a valid job whose specification takes most of the largest body. It is not due while a test runs.
func largeSpecification() []byte {
	const rest = 4 << 10
	return fmt.Appendf(nil, `{"Spec":%q,"Times":1,"StartTimeMs":%d,"Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300}]}`,
		strings.Repeat("a", maxBody-rest), farFuture)
}

// dependentSteps is a valid job of many steps, each of which waits for all before it. It is not due while a test runs.
func dependentSteps() []byte {
	const steps = 250
	var b strings.Builder
	fmt.Fprintf(&b, `{"Spec":"a","Times":1,"StartTimeMs":%d,"Steps":[`, farFuture)
	for i := range steps {
		after := make([]string, i)
		for k := range after {
			after[k] = strconv.Itoa(k)
		}
		fmt.Fprintf(&b, `{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300,"After":[%s]},`, strings.Join(after, ","))
	}
	return []byte(strings.TrimSuffix(b.String(), ",") + "]}")
}

// longNames is a valid job with names of labels, racks and images that take most of the largest body, and with many occurrences. It is not due while a test
// runs.
func longNames() []byte {
	const length, occurrences = 80 << 10, 60_000
	name := strings.Repeat("a", length)
	return fmt.Appendf(nil, `{"Spec":"a","Times":%d,"StartTimeMs":%d,"IntervalMs":1000,"Steps":[{"Count":1,"Cpu":500,"MemMb":256,"RequiredLabel":%q,"Affinity":%q,"Image":%q}]}`,
		occurrences, farFuture, name, name, name)
}

// smallKept is the ordinary job, due when no test runs.
func smallKept() []byte {
	return fmt.Appendf(nil, `{"Spec":"a","Times":1,"StartTimeMs":%d,"Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300}]}`, farFuture)
}

// manyTasks is a valid job with the most tasks that a job may have. It runs for longer than a test.
func manyTasks() []byte {
	const steps = 16
	step := `{"Count":4096,"Cpu":500,"MemMb":256,"EstimateMs":300000}`
	return []byte(`{"Spec":"a","Steps":[` + strings.TrimSuffix(strings.Repeat(step+",", steps), ",") + `]}`)
}

// submitter submits jobs one after the other, as a client does that comes back when it is refused.
type submitter struct {
	addr   string
	pool   string
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a request and returns the status of its answer; an error means that the connection has ended.
func (s *submitter) exchange(method string, id int64, body []byte) (status int, err error) {
	if s.conn == nil {
		if s.conn, err = net.DialTimeout("tcp", s.addr, callTimeout); err != nil {
			return 0, err
		}
		s.reader = bufio.NewReader(s.conn)
	}
	_ = s.conn.SetDeadline(time.Now().Add(callTimeout))
	_, err = fmt.Fprintf(s.conn, "%s %s%016x HTTP/1.1\r\nHost: %s\r\nRequest-Deadline: 3000\r\nContent-Length: %d\r\n\r\n%s",
		method, standin.PoolPrefix(s.pool), id, host, len(body), body)
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(s.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if err != nil || answer.Close {
		_ = s.conn.Close()
		s.conn = nil
	}
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, nil
}

// untilAccepted repeats a request until it is accepted, at most refusals times.
func (s *submitter) untilAccepted(method string, id int64, body []byte) (accepted bool) {
	const refusals = 20
	for range refusals {
		if status, err := s.exchange(method, id, body); err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(sampleTime)
	}
	return false
}

// series submits a number of jobs to a pool one after the other, until one is refused for good, and cancels each at once if cancelled is set.
func series(t *testing.T, pool string, job []byte, count int, cancelled bool) (act send, report func()) {
	var clients, accepted atomic.Int64
	act = func(conn net.Conn) error {
		client := clients.Add(1)
		s := submitter{addr: conn.RemoteAddr().String(), pool: pool}
		defer func() {
			if s.conn != nil {
				_ = s.conn.Close()
			}
		}()
		for i := range count {
			id := client<<20 + int64(i)
			if !s.untilAccepted(http.MethodPost, id, job) {
				return nil
			}
			accepted.Add(1)
			if cancelled {
				s.untilAccepted(http.MethodDelete, id, nil)
			}
		}
		return nil
	}
	return act, func() { t.Logf("jobs of %s accepted: %d of %d", pool, accepted.Load(), clients.Load()*int64(count)) }
}

// Guards against legal jobs that wait, or have ended, and end the process that keeps them, or each process that takes their pool over.
func TestKeptJobs(t *testing.T) {
	for _, tt := range []struct {
		name           string
		limitMB        int
		job            []byte
		clients, count int
		cancelled      bool
	}{
		{"large specifications", memoryMB, largeSpecification(), 8, 50, false},
		{"steps that depend on many", memoryMB, dependentSteps(), 8, 50, false},
		{"large specifications of cancelled jobs", memoryMB, largeSpecification(), 8, 50, true},
		{"long names", memoryMB, longNames(), 8, 50, false},
		{"small jobs", 184, smallKept(), 40, 500, false},
		{"jobs of many tasks", memoryMB, manyTasks(), 8, 5, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, tt.limitMB, maxFDs)
			act, report := series(t, pool, tt.job, tt.count, tt.cancelled)
			s.check(t, s.entry, &crowd{clients: tt.clients, act: act}, tt.limitMB, maxFDs)
			report()
			s.restart(t)
			sampling := startSampler(t.Context(), s)
			s.awaitHolder(t, pool)
			s.awaitJob(t, largeJob(), answerLimit)
			s.checkUsage(t, sampling.end(), tt.limitMB, maxFDs)
		})
	}
}

// Guards against the one process that is left, which takes all pools over and does not survive what they keep.
func TestTakeoverOfFullPools(t *testing.T) {
	const clients, perClient = 4, 30
	checkTakeover(t, largeSpecification(), clients, perClient)
}

// checkTakeover submits jobs to four pools, kills two of three processes and checks the one that is left.
func checkTakeover(t *testing.T, job []byte, clients, count int) {
	t.Helper()
	const processes = 3
	pools := []string{"work", "cutting", "fitting", "billing"}
	p := startPlatform(t, pools...)
	p.Configure(1, host, 3)
	var all []*target
	for i := range processes {
		s := newTarget(t, p, fmt.Sprintf("n%d", i), memoryMB, maxFDs)
		s.run(t)
		all = append(all, s)
	}
	for _, s := range all {
		s.awaitAnswer(t, startLimit)
	}
	for i, name := range pools {
		all[0].awaitHolder(t, name)
		act, report := series(t, name, job, count, false)
		c := &crowd{clients: clients, act: act}
		c.start(all[i%processes].entry)
		c.close()
		report()
	}
	last := all[processes-1]
	for _, s := range all[:processes-1] {
		if err := s.command.Process.Kill(); err != nil {
			t.Fatalf("process: got %v, want it alive", err)
		}
	}
	sampling := startSampler(t.Context(), last)
	for _, name := range pools {
		last.awaitHolder(t, name)
	}
	last.awaitAnswer(t, answerLimit)
	last.checkUsage(t, sampling.end(), memoryMB, maxFDs)
}
