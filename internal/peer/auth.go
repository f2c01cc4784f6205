// Package peer implements the RPCs between boxes over Connect: heartbeats, capacity, the
// configuration and transactions, and forwards requests to boxes of other halls.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Auth signs outgoing calls with the secret that all boxes share and verifies the signatures of
// incoming ones. With an empty secret, which the settings allow only on loopback, nothing is
// verified.
type Auth struct {
	Secret string
	Box    barleystep.BoxID
	Clock  barleystep.Clock
}

const (
	headerPeer = "Barleystep-Peer"
	// maxClockSkew is the largest difference between two boxes' clocks at which a signature is
	// still accepted.
	maxClockSkew = time.Minute
)

var _ connect.Interceptor = Auth{}

// sign returns the header value "box time signature" for a call of the procedure. The time is in
// Unix seconds, the signature a hexadecimal HMAC-SHA256.
func (a Auth) sign(procedure string) string {
	at := strconv.FormatInt(clock.TimeOfDay(a.Clock).Unix(), 10)
	return string(a.Box) + " " + at + " " + a.signature(string(a.Box), at, procedure)
}

func (a Auth) signature(box, at, procedure string) string {
	mac := hmac.New(sha256.New, []byte(a.Secret))
	mac.Write([]byte(box + "\n" + at + "\n" + procedure))
	return hex.EncodeToString(mac.Sum(nil))
}

var errUnauthenticated = eris.New("peer: the caller did not prove that it is a box")

func (a Auth) check(h http.Header, procedure string) error {
	if a.Secret == "" {
		return nil
	}
	parts := strings.Split(h.Get(headerPeer), " ")
	if len(parts) != 3 {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	want := a.signature(parts[0], parts[1], procedure)
	if !hmac.Equal([]byte(want), []byte(parts[2])) || !a.isRecent(parts[1]) {
		return connect.NewError(connect.CodeUnauthenticated, errUnauthenticated)
	}
	return nil
}

func (a Auth) isRecent(at string) bool {
	sec, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return false
	}
	return clock.TimeOfDay(a.Clock).Sub(time.Unix(sec, 0)).Abs() <= maxClockSkew
}

// WrapUnary signs an outgoing call or verifies an incoming one.
func (a Auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			req.Header().Set(headerPeer, a.sign(req.Spec().Procedure))
			return next(ctx, req)
		}
		if err := a.check(req.Header(), req.Spec().Procedure); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient signs an outgoing stream.
func (a Auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(headerPeer, a.sign(spec.Procedure))
		return conn
	}
}

// WrapStreamingHandler verifies an incoming stream.
func (a Auth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.check(conn.RequestHeader(), conn.Spec().Procedure); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}
