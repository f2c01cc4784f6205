// Package peer implements the RPCs between boxes over Connect: heartbeats, capacity, the
// configuration and transactions, and forwards requests to boxes of other halls.
package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/barleystep/barleystep/internal/signature"
)

// Auth signs outgoing calls and verifies incoming ones.
type Auth struct{ signature.Key }

var _ connect.Interceptor = Auth{}

func (a Auth) check(req connect.AnyRequest) error {
	if err := a.Verify(req.Header(), req.Spec().Procedure); err != nil {
		return connect.NewError(connect.CodeUnauthenticated, err)
	}
	return nil
}

// WrapUnary signs an outgoing call or verifies an incoming one.
func (a Auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			a.Sign(req.Header(), req.Spec().Procedure)
			return next(ctx, req)
		}
		if err := a.check(req); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient signs an outgoing stream.
func (a Auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		a.Sign(conn.RequestHeader(), spec.Procedure)
		return conn
	}
}

// WrapStreamingHandler verifies an incoming stream.
func (a Auth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.Verify(conn.RequestHeader(), conn.Spec().Procedure); err != nil {
			return connect.NewError(connect.CodeUnauthenticated, err)
		}
		return next(ctx, conn)
	}
}
