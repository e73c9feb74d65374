package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-chi/chi/v5/middleware"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/operator/message"
)

// call holds what the access log records about a call.
type call struct {
	id       string
	identity Identity
	reason   string
	changeID string
	revision uint64
}

type callKey struct{}

// callOf returns the call that withAccessLog stored in the request's context.
func callOf(r *http.Request) *call {
	if c, ok := r.Context().Value(callKey{}).(*call); ok {
		return c
	}
	return &call{}
}

// withAccessLog logs each call, without its token and body.
func (s *Server) withAccessLog(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: uuid.NewString()}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), callKey{}, c), s.Timeout)
		defer cancel()
		w.Header().Set("Verbena-Request-Id", c.id)
		recorder := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
		start := time.Now()
		next.ServeHTTP(recorder, r.WithContext(ctx))
		event := s.Log.Info()
		if recorder.Status() >= http.StatusInternalServerError {
			event = s.Log.Warn()
		}
		c.addTo(event).Str("method", r.Method).Str("path", r.URL.Path).Str("remote", r.RemoteAddr).Int("status", recorder.Status()).
			Int("bytes", recorder.BytesWritten()).Float64("durationMs", float64(time.Since(start).Microseconds())/1000).Msg("operator call")
	})
}

// addTo adds the fields of the call that are not empty to a log event.
func (c *call) addTo(e *zerolog.Event) *zerolog.Event {
	e = e.Str("requestId", c.id)
	for key, value := range map[string]string{"operator": c.identity.Name, "role": string(c.identity.Role), "reason": c.reason, "changeId": c.changeID} {
		if value != "" {
			e = e.Str(key, value)
		}
	}
	if c.revision > 0 {
		e = e.Uint64("revision", c.revision)
	}
	return e
}

// withRecovery logs the panic of a call and answers it with a problem, so that other calls are not affected.
func (s *Server) withRecovery(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			panicValue := recover()
			if panicValue == nil {
				return
			}
			s.Log.Error().Str("requestId", callOf(r).id).Str("panic", fmt.Sprint(panicValue)).Bytes("stack", debug.Stack()).Msg("operator call panicked")
			s.fail(w, r, newProblem(http.StatusInternalServerError, message.ReasonInternal, "the call failed inside the daemon; its log has the request id"))
		}()
		next.ServeHTTP(w, r)
	})
}

// withLimits refuses calls above MaxCalls and bodies above MaxBody. It runs after require, so that unauthorised clients
// occupy no slot. Each role has its own slots, so that readers cannot block operators.
func (s *Server) withLimits() func(http.Handler) http.Handler {
	slots := map[Role]chan struct{}{RoleReader: make(chan struct{}, s.MaxCalls), RoleOperator: make(chan struct{}, s.MaxCalls)}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			slot := slots[callOf(r).identity.Role]
			select {
			case slot <- struct{}{}:
			default:
				w.Header().Set("Retry-After", "1")
				s.fail(w, r, newProblem(http.StatusServiceUnavailable, message.ReasonBusy, fmt.Sprintf("%d calls are in progress; repeat the call", s.MaxCalls)))
				return
			}
			defer func() { <-slot }()
			r.Body = http.MaxBytesReader(w, r.Body, s.MaxBody)
			next.ServeHTTP(w, r)
		})
	}
}

// require refuses calls without a valid token or with a role that does not include the required one.
func (s *Server) require(role Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			identity, err := s.Tokens.Identify(token)
			switch {
			case errors.Is(err, ErrUnauthorized):
				w.Header().Set("WWW-Authenticate", `Bearer realm="verbenalanding"`)
				s.fail(w, r, newProblem(http.StatusUnauthorized, message.ReasonUnauthorized, "give a valid operator's token in the Authorization header"))
			case err != nil:
				s.Log.Error().Err(err).Msg("cannot read tokens file; operator call refused")
				s.fail(w, r, newProblem(http.StatusServiceUnavailable, message.ReasonUnavailable, "tokens cannot be read"))
			default:
				callOf(r).identity = identity
				if identity.Role != role && identity.Role != RoleOperator {
					s.forbid(w, r)
					return
				}
				next.ServeHTTP(w, r)
			}
		})
	}
}

func (s *Server) forbid(w http.ResponseWriter, r *http.Request) {
	identity := callOf(r).identity
	s.fail(w, r, newProblem(http.StatusForbidden, message.ReasonForbidden,
		fmt.Sprintf("%s has the role %s; this call needs the role %s", identity.Name, identity.Role, RoleOperator)))
}
