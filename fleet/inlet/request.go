package inlet

import (
	"bufio"
	"context"
	"net"
	"net/http"
)

// Handler returns the handler of a server on a Listener. The body of a request that next does not read is discarded within a bounded time.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil && r.ContentLength != 0 {
			c.unread.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads the body of a request. The caller releases the share once it no longer uses the content.
func (r *Room) ReadBody(ctx context.Context, request *http.Request, limit int64) ([]byte, *Share, error) {
	return r.read(ctx, connOf(request), request.Body, request.ContentLength, limit, limit)
}

// ReadMessage reads a message of a declared size from the stream of a connection. The caller releases the share once it no longer uses the
// content.
func (r *Room) ReadMessage(ctx context.Context, conn net.Conn, stream *bufio.Reader, size, limit int64) ([]byte, *Share, error) {
	c, _ := conn.(*Conn)
	content, share, err := r.read(ctx, c, stream, size, limit, firstBuffer)
	if c != nil {
		c.Quiet()
	}
	return content, share, err
}
