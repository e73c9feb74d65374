package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/platform"
)

// BenchmarkRequest measures a calm request on an open connection, from the first byte sent to the last one received. The job has no steps, so that
// it is refused without the store, after its body was read and decoded.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{100, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := &Node{
				Registry: metrics.NewRegistry(), Log: zerolog.Nop(), Clock: monotonic.New(), View: viewOfQueue(b, "a", "/q/"),
				Settings: platform.Settings{MaxValueBytes: 1 << 20}, intake: newClientIntake(platform.Settings{}, Flags{}),
			}
			var l listeners
			var err error
			for _, dest := range []*net.Listener{&l.entry, &l.readiness} {
				if *dest, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
					b.Fatal(err)
				}
			}
			var group errgroup.Group
			for _, s := range n.serve(&group, l) {
				defer func() { _ = s.Close() }()
			}
			conn, err := net.Dial("tcp", l.entry.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			body := `{"Spec":"a","Steps":[]` + strings.Repeat(" ", size-len(`{"Spec":"a","Steps":[]}`)) + `}`
			request := fmt.Appendf(nil, "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", size, body)
			answers := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				answer, err := http.ReadResponse(answers, nil)
				if err != nil || answer.StatusCode != http.StatusBadRequest {
					b.Fatalf("answer: got %v and %v, want status %d", answer, err, http.StatusBadRequest)
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
