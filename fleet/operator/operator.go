package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
)

// Configuration provides the configuration in force and accepts changes.
type Configuration interface {
	// Current returns the set in force and its revision, or configuration.ErrNotReady.
	Current() (declaration.Set, uint64, error)
	// Propose accepts a change, or returns a *configuration.ConflictError, declaration.Problems,
	// configuration.ErrUnknownOutcome, or another error when the change was not applied.
	Propose(ctx context.Context, c configuration.Change) (configuration.Change, error)
}

// ErrUnknownReport is returned by Reports for an unknown kind or format.
var ErrUnknownReport = errors.New("unknown report or format")

// Reports renders reports; kind is burn, waves or moves and format is text, json or html.
type Reports interface {
	Report(ctx context.Context, kind, format string) (Rendered, error)
}

// Rendered is a rendered report.
type Rendered struct {
	ContentType string
	Body        []byte
}

const (
	// DefaultMaxBody is 20 times the 400 KB that a configuration is expected to have in two years.
	DefaultMaxBody = 8 << 20
	// DefaultMaxCalls bounds the calls in progress and thereby the memory for their bodies.
	DefaultMaxCalls = 16
	// DefaultTimeout exceeds the time to accept a change with a slow store: several store calls of 2 s each.
	DefaultTimeout = 30 * time.Second
)

// Server serves the operators' API; its fields are set before Run or Handler.
type Server struct {
	Addr          netip.AddrPort
	Configuration Configuration
	Records       Records
	Reports       Reports
	Tokens        *Tokens
	// Certificates enables TLS; nil serves plain HTTP.
	Certificates *Certificates
	// Metrics is served at /metrics to operators with the role reader; nil serves none.
	Metrics http.Handler
	Version string
	Now     func() time.Time
	Log     zerolog.Logger
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxCalls is the maximum number of concurrent calls of each role; further calls are refused as busy.
	MaxCalls int
	Timeout  time.Duration
	// ConnState is called with each change of an operator's connection, as by http.Server; nil for none.
	ConnState func(net.Conn, http.ConnState)
}

// SetDefaults gives the optional fields that are unset their default values.
func (s *Server) SetDefaults() {
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.MaxCalls == 0 {
		s.MaxCalls = DefaultMaxCalls
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Version == "" {
		s.Version = "unknown"
	}
}

// Handler returns the handler of the API. It shares no path with the callers' API.
func (s *Server) Handler() http.Handler {
	s.SetDefaults()
	r := chi.NewRouter()
	r.Use(s.withAccessLog, s.withRecovery)
	limits := s.withLimits()
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, newProblem(http.StatusNotFound, message.ReasonNotFound, "no call at "+r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, newProblem(http.StatusMethodNotAllowed, message.ReasonInvalid, r.Method+" is not allowed at "+r.URL.Path))
	})
	r.Group(func(r chi.Router) {
		r.Use(s.require(RoleReader), limits)
		r.Post(message.DiffPath, s.diff)
		r.Get(message.ExportPath, s.export)
		r.Post(message.StatementPath, s.statement)
		r.Get(message.ReportPath+"{kind}", s.report)
		r.Get(message.VersionPath, s.version)
		if s.Metrics != nil {
			r.Method(http.MethodGet, message.MetricsPath, s.Metrics)
		}
	})
	r.With(s.require(RoleOperator), limits).Post(message.ApplyPath, s.apply)
	return r
}

// Run listens at Addr and serves the API until the context ends, then waits for calls in progress to finish.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Addr.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return s.Serve(ctx, listener)
}

// Serve is like Run on an existing listener, which it closes.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer l.Close()
	s.SetDefaults()
	if err := s.Tokens.Load(); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       s.Timeout,
		WriteTimeout:      s.Timeout + 10*time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    32 << 10,
		ConnState:         s.ConnState,
	}
	if s.Certificates != nil {
		config, err := s.Certificates.Config()
		if err != nil {
			return fmt.Errorf("serve operators: %w", err)
		}
		config.NextProtos = []string{"h2", "http/1.1"}
		l = tls.NewListener(l, config)
		server.TLSConfig = config
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve operators: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timeout)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	return g.Wait()
}
