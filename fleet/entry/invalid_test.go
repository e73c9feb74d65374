package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/internal/check"
)

// Guards against callers that hold memory by not reading their responses.
func TestSlowReader(t *testing.T) {
	e := newCluster(t, 1).start(t, func(e *Entry) { e.WriteTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	check.NoError(t, err)
	// The deadline only bounds the test: filling the buffers takes 0.4 s on an idle machine, and eight times as long on a busy
	// one.
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	body := strings.Repeat("x", 60_000)
	text := "POST /v1/services/sizeMatch HTTP/1.1\r\nHost: x\r\nVerbena-Class: urgent\r\nVerbena-Team: crew\r\nContent-Length: 60000\r\n\r\n"
	for err == nil {
		_, err = io.WriteString(conn, text+body)
	}
	_ = conn.Close()
	check.True(t, "the entry instance closes the connection, got "+err.Error(), !errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against request smuggling, that is requests that two HTTP parsers frame differently, and against invalid, slow or
// oversized requests.
func TestInvalidRequests(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, func(e *Entry) { e.BodyTimeout = 200 * time.Millisecond })
	line := "POST /v1/services/sizeMatch HTTP/1.1\r\nHost: x\r\nVerbena-Class: urgent\r\nVerbena-Team: crew\r\n"
	smuggled := "0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	cases := map[string]string{
		"length and chunked":     line + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
		"two lengths":            line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"list of lengths":        line + "Content-Length: 1, 1\r\n\r\nx",
		"signed length":          line + "Content-Length: +1\r\n\r\nx",
		"space before colon":     line + "Transfer-Encoding : chunked\r\n\r\n" + smuggled,
		"unknown coding":         line + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
		"two codings":            line + "Transfer-Encoding: gzip, chunked\r\n\r\n" + smuggled,
		"HTTP/1.0 chunked":       strings.Replace(line, "1.1", "1.0", 1) + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx",
		"HTTP/1.0":               strings.Replace(line, "1.1", "1.0", 1) + "Content-Length: 1\r\n\r\nx",
		"GET with a body":        "GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
		"control in the header":  line + "X: a\x00b\r\n\r\n",
		"slow body":              line + "Content-Length: 10\r\n\r\nx",
		"header too large":       line + "X: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"body too large":         line + "Content-Length: 70000\r\n\r\nx",
		"class too urgent":       strings.Replace(line, "sizeMatch", "uncorrelated", 1) + "Content-Length: 0\r\n\r\n",
		"class missing":          strings.Replace(line, "Verbena-Class", "X-Class", 1) + "Content-Length: 0\r\n\r\n",
		"class twice":            line + "Verbena-Class: standard\r\nContent-Length: 0\r\n\r\n",
		"unknown team":           strings.Replace(line, "crew", "nobody", 1) + "Content-Length: 0\r\n\r\n",
		"deadline not a number":  line + "Verbena-Deadline: 1s\r\nContent-Length: 0\r\n\r\n",
		"deadline too long":      line + "Verbena-Deadline: 60001\r\nContent-Length: 0\r\n\r\n",
		"key missing":            strings.Replace(strings.Replace(line, "sizeMatch", "tonerReorder", 1), "urgent", "standard", 1) + "Content-Length: 0\r\n\r\n",
		"query":                  strings.Replace(line, " HTTP", "?a=b HTTP", 1) + "Content-Length: 0\r\n\r\n",
		"unknown service":        strings.Replace(line, "sizeMatch", "none", 1) + "Content-Length: 0\r\n\r\n",
		"encoded slash in name":  strings.Replace(line, "sizeMatch", "size%2fMatch", 1) + "Content-Length: 0\r\n\r\n",
		"line break in the name": strings.Replace(line, "sizeMatch", "sizeMatch%0d%0aX:y", 1) + "Content-Length: 0\r\n\r\n",
	}
	var g errgroup.Group
	for name, text := range cases {
		g.Go(func() error {
			got, err := exchangeRaw(strings.TrimPrefix(e.url, "http://"), text)
			if responses := strings.Count(got, "Date: ") + strings.Count(got, "text/plain"); responses != 1 {
				return fmt.Errorf("%s: got %d responses, want 1: %s", name, responses, got)
			}
			if len(got) < 12 || got[9] != '4' && got[9] != '5' {
				return fmt.Errorf("%s: got %s, want a refusal", name, got)
			}
			return err
		})
	}
	check.NoError(t, g.Wait())
	check.Equal(t, "executions", c.log.Len(), 0)
}

// exchangeRaw sends bytes and returns what arrives within a second. It does not close its side, which net/http would treat
// as a caller that disconnected.
func exchangeRaw(addr, text string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, text)
	got, _ := io.ReadAll(conn)
	return string(got), nil
}
