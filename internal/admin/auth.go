// Package admin serves the administration API. Operators submit, compare and
// restore versions of the configuration, drain targets, create keys, and query the
// status of boxes and targets. The API does not control individual requests.
package admin

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/settings"
)

// The roles of operators.
const (
	RoleViewer = "viewer"
	RoleTeam   = "team"
	RoleAdmin  = "admin"
)

type operatorKey struct{}

// auth authenticates calls by bearer token. operators is indexed by the SHA-256 hash
// of the token.
type auth struct{ operators map[string]settings.Operator }

func newAuth(list []settings.Operator) auth {
	a := auth{operators: make(map[string]settings.Operator, len(list))}
	for _, o := range list {
		a.operators[o.SHA256] = o
	}
	return a
}

// WrapUnary rejects calls without a known token and adds the operator to the context.
func (a auth) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		token, ok := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
		operator, known := a.operators[config.HashKey(token)]
		if !ok || !known {
			return nil, errorf(connect.CodeUnauthenticated, "Send a valid token as: Authorization: Bearer TOKEN.")
		}
		return next(context.WithValue(ctx, operatorKey{}, operator), req)
	}
}

// WrapStreamingClient returns next, since the API has no streams.
func (a auth) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler returns next, since the API has no streams.
func (a auth) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// message is an error whose text is sent to operators.
type message string

// Error returns the text.
func (m message) Error() string { return string(m) }

func errorf(code connect.Code, format string, args ...any) error {
	return connect.NewError(code, message(fmt.Sprintf(format, args...)))
}

func operatorOf(ctx context.Context) settings.Operator {
	o, _ := ctx.Value(operatorKey{}).(settings.Operator)
	return o
}

// authorize returns an error unless the operator's role permits all the changes. A
// team may change only its own accounts, and may not take over those of another.
func authorize(o settings.Operator, base, next config.Document, changes []config.Change) error {
	if o.Role == RoleAdmin {
		return nil
	}
	if o.Role != RoleTeam {
		return errorf(connect.CodePermissionDenied, "Operator %s may look, not change.", o.Name)
	}
	for _, c := range changes {
		if c.Kind != config.KindAccount {
			return errorf(connect.CodePermissionDenied, "Team %s may change its accounts; %s %q is not one.", o.Team, c.Kind, c.Name)
		}
		for _, d := range []config.Document{base, next} {
			if team, ok := teamOf(d, c.Name); ok && team != o.Team {
				return errorf(connect.CodePermissionDenied, "Account %q belongs to team %q, not %q.", c.Name, team, o.Team)
			}
		}
	}
	return nil
}
