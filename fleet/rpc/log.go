package rpc

import (
	"fmt"
	"net"
	"strings"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
)

// maxLoggedText is the length up to which a text about a connection is logged, in bytes; it may quote what the other process has sent.
const maxLoggedText = 256

// connLog writes what the library reports about a connection, such as a message that cannot be decoded, as log lines.
type connLog struct {
	log    *zerolog.Logger
	remote string
}

// Printf writes one line.
func (l connLog) Printf(format string, values ...any) {
	text := strings.TrimSpace(fmt.Sprintf(format, values...))
	l.log.Info().Str("remote", l.remote).Str("detail", text[:min(len(text), maxLoggedText)]).Msg("connection to another process disturbed")
}

// logOption returns the option that logs to a logger, or no option for nil; the library then writes to standard error.
func logOption(log *zerolog.Logger, conn net.Conn) jsonrpc2.ConnOpt {
	if log == nil {
		return nil
	}
	return jsonrpc2.SetLogger(connLog{log: log, remote: conn.RemoteAddr().String()})
}
