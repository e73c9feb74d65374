package inlet_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/intake"
)

const limit = 256 << 10

// roomFor returns a room for a number of the largest messages.
func roomFor(messages int64, waitLimit, stallLimit time.Duration) *inlet.Room {
	s := intake.Settings{Bytes: messages*limit + limit/4, Reserve: limit / 4, Small: 16 << 10, MaxWaiting: messages * limit, Stall: 100 * time.Millisecond, Rate: 1 << 10}
	return inlet.NewRoom(s, waitLimit, stallLimit, 10*time.Second)
}

// serve starts a server that answers with the length of each body, or the name of the error for which it was not read.
func serve(t *testing.T, room *inlet.Room, connections int, causes chan inlet.Cause) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &inlet.Listener{Listener: l, Limit: connections, AnswerTimeout: 200 * time.Millisecond, OnRefusal: func(c inlet.Cause, _ net.Addr) {
		select {
		case causes <- c:
		default:
		}
	}}
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		content, share, err := room.ReadBody(r.Context(), r, limit)
		defer share.Release()
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, err)
			return
		}
		fmt.Fprint(w, len(content), strings.Repeat(" ", len(r.URL.RawQuery)<<10))
	}
	server := &http.Server{Handler: inlet.Handler(http.HandlerFunc(answer)), ReadHeaderTimeout: time.Second, ConnState: listener.TrackState, ConnContext: inlet.ConnContext}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		_ = server.Close()
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server: got %v, want %v", err, http.ErrServerClosed)
		}
	})
	return l.Addr().String()
}

// send opens a connection and sends a request; only sent bytes of a body of length bytes follow, unless length is negative, which means chunks.
func send(t *testing.T, addr, path string, length int, body string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", path, framing, body); err != nil {
		t.Fatal(err)
	}
	return conn
}

func wantAnswer(t *testing.T, what string, conn net.Conn, status int, text string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("%s: got %v, want status %d", what, err, status)
		return
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Errorf("%s: got %v, want a whole answer", what, err)
	}
	if got := strings.TrimSpace(string(content)); answer.StatusCode != status || got != text {
		t.Errorf("%s: got status %d and %q, want %d and %q", what, answer.StatusCode, got, status, text)
	}
}

func chunks(content string, size int) string {
	var b strings.Builder
	for rest := content; len(rest) > 0; {
		chunk := rest[:min(size, len(rest))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		rest = rest[len(chunk):]
	}
	return b.String() + "0\r\n\r\n"
}

// Guards against a single request inside the limits that is refused, however its body is sent.
func TestBodyIsRead(t *testing.T) {
	room := roomFor(2, time.Second, time.Second)
	addr := serve(t, room, 4, nil)
	largest := strings.Repeat("a", limit)
	for _, tt := range []struct {
		name   string
		length int
		body   string
		want   int
		text   string
	}{
		{"no body", 0, "", http.StatusOK, "0"},
		{"small body", 3, "abc", http.StatusOK, "3"},
		{"largest body", limit, largest, http.StatusOK, fmt.Sprint(limit)},
		{"one chunk", -1, chunks(largest, limit), http.StatusOK, fmt.Sprint(limit)},
		{"chunks of one byte", -1, chunks(largest, 1), http.StatusOK, fmt.Sprint(limit)},
		{"empty chunked body", -1, chunks("", 1), http.StatusOK, "0"},
		{"too large a body", limit + 1, "a", http.StatusServiceUnavailable, inlet.ErrTooLarge.Error()},
		{"too large in chunks", -1, chunks(largest+"a", limit), http.StatusServiceUnavailable, inlet.ErrTooLarge.Error()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wantAnswer(t, "request", send(t, addr, "/", tt.length, tt.body), tt.want, tt.text)
			if got := room.Held(); got != 0 {
				t.Errorf("room after the answer: got %d bytes held, want 0", got)
			}
		})
	}
}

// Guards against unfinished bodies that keep all room from an ordinary one, and against refusals that their clients do not get.
func TestStalledBodyGivesWay(t *testing.T) {
	addr := serve(t, roomFor(1, 5*time.Second, time.Minute), 8, nil)
	largest := strings.Repeat("a", limit)
	stalled := send(t, addr, "/", limit, largest[1:])
	wantAnswer(t, "small body beside it", send(t, addr, "/", 3, "abc"), http.StatusOK, "3")
	wantAnswer(t, "large body after it", send(t, addr, "/", limit, largest), http.StatusOK, fmt.Sprint(limit))
	wantAnswer(t, "stalled body", stalled, http.StatusServiceUnavailable, inlet.ErrGaveWay.Error())
}

// Guards against a body that stays unfinished for ever while nothing else waits.
func TestStalledBodyIsRefused(t *testing.T) {
	addr := serve(t, roomFor(1, time.Second, 200*time.Millisecond), 8, nil)
	wantAnswer(t, "stalled body", send(t, addr, "/", 4, "abc"), http.StatusServiceUnavailable, inlet.ErrStalled.Error())
	wantAnswer(t, "stalled chunk", send(t, addr, "/", -1, "4\r\nabc"), http.StatusServiceUnavailable, inlet.ErrStalled.Error())
}

// Guards against a connection that is kept for a body that no handler reads.
func TestUnreadBodyEndsItsConnection(t *testing.T) {
	addr := serve(t, roomFor(1, time.Second, time.Second), 8, nil)
	conn := send(t, addr, "/unread", 4, "abc")
	wantAnswer(t, "request", conn, http.StatusNotFound, "")
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection after the answer: got %d bytes and %v, want its end", n, err)
	}
}

// Guards against idle connections that keep a newcomer out.
func TestIdleConnectionMakesPlace(t *testing.T) {
	causes := make(chan inlet.Cause, 8)
	addr := serve(t, roomFor(1, time.Second, time.Second), 2, causes)
	idle := send(t, addr, "/", 1, "")
	for range 3 {
		wantAnswer(t, "ordinary request", send(t, addr, "/", 3, "abc"), http.StatusOK, "3")
	}
	if n, err := idle.Read(make([]byte, 1)); err == nil {
		t.Errorf("idle connection: got %d bytes, want its end", n)
	}
	if got := <-causes; got != inlet.ConnectionClosed {
		t.Errorf("cause: got %s, want %s", got, inlet.ConnectionClosed)
	}
}

// Guards against a client that never reads its answers and keeps its connection by that.
func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	causes := make(chan inlet.Cause, 8)
	addr := serve(t, roomFor(1, time.Second, time.Second), 2, causes)
	conn := send(t, addr, "/?"+strings.Repeat("a", 12<<10), 0, "")
	select {
	case got := <-causes:
		if got != inlet.AnswerNotRead {
			t.Errorf("cause: got %s, want %s", got, inlet.AnswerNotRead)
		}
	case <-time.After(10 * time.Second):
		t.Error("connection without a reader: got no end, want one")
	}
	_ = conn.Close()
}

// Guards against work that waits for room for ever, and against room that is lost when it gives up.
func TestWorkWithoutRoomIsRefused(t *testing.T) {
	room := roomFor(1, 50*time.Millisecond, time.Second)
	held, err := room.Take(context.Background(), limit)
	if err != nil {
		t.Fatalf("first work: got %v, want room", err)
	}
	if _, err := room.Take(context.Background(), limit); !errors.Is(err, inlet.ErrNoRoom) {
		t.Errorf("second work: got %v, want %v", err, inlet.ErrNoRoom)
	}
	held.Release()
	held.Release()
	again, err := room.Take(context.Background(), limit)
	if err != nil {
		t.Errorf("work after the release: got %v, want room", err)
	}
	again.Release()
	if got := room.Held(); got != 0 {
		t.Errorf("room: got %d bytes held, want 0", got)
	}
}

// Guards against requests that are handled for as long as their clients like and keep newcomers out for that time.
func TestLongestRequestMakesPlace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &inlet.Listener{Listener: l, Limit: 2, LongestUse: 300 * time.Millisecond}
	began := make(chan struct{}, 2)
	server := &http.Server{ReadHeaderTimeout: time.Second, ConnState: listener.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			began <- struct{}{}
			<-r.Context().Done()
		}
		fmt.Fprint(w, "0")
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	defer func() {
		_ = server.Close()
		_ = group.Wait()
	}()
	addr := l.Addr().String()
	first := send(t, addr, "/wait", 0, "")
	<-began
	send(t, addr, "/wait", 0, "")
	<-began
	if _, err := send(t, addr, "/", 0, "").Read(make([]byte, 1)); err == nil {
		t.Error("newcomer beside two short requests: got an answer, want its end")
	}
	time.Sleep(400 * time.Millisecond)
	wantAnswer(t, "newcomer beside two long requests", send(t, addr, "/", 0, ""), http.StatusOK, "0")
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("longest request: got %v, want the end of its connection", err)
	}
}
