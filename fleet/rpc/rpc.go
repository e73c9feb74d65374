package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// ErrUnreachable is returned when a call got no answer; the other process may or may not have run it.
var ErrUnreachable = errors.New("peer unreachable")

// ErrNotSent is returned with ErrUnreachable when no connection could be opened, so that the other process has certainly not run the call.
var ErrNotSent = errors.New("not sent")

// firstCode is the code of the first sentinel error; each further one has the next lower code.
const firstCode = -32000

// Handler answers a call; params is the JSON of the caller's argument.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Sentinels are the errors that keep their identity over a connection; both sides use the same list in the same order.
type Sentinels []error

// Encode converts an error to its form on the wire; nil stays nil. A handler that serves clients with different lists of
// sentinels encodes its errors itself.
func (s Sentinels) Encode(err error) error {
	if err == nil {
		return nil
	}
	return s.encode(err)
}

func (s Sentinels) encode(err error) *jsonrpc2.Error {
	var encoded *jsonrpc2.Error
	if errors.As(err, &encoded) {
		return encoded
	}
	for i, sentinel := range s {
		if errors.Is(err, sentinel) {
			return &jsonrpc2.Error{Code: firstCode - int64(i), Message: err.Error()}
		}
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// decode restores an error from its form on the wire; an error of the connection becomes ErrUnreachable.
func (s Sentinels) decode(err error) error {
	var encoded *jsonrpc2.Error
	if !errors.As(err, &encoded) {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	i := firstCode - encoded.Code
	if i >= 0 && i < int64(len(s)) {
		return fmt.Errorf("%w: %s", s[i], encoded.Message)
	}
	return errors.New(encoded.Message)
}

// Answer decodes the params of a call, passes them to run and returns its result.
func Answer[P, R any](params json.RawMessage, run func(P) (R, error)) (any, error) {
	p, err := Decode[P](params)
	if err != nil {
		return nil, err
	}
	return run(p)
}

// Decode decodes the params of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, fmt.Errorf("decode params: %w", err)
	}
	return value, nil
}
