package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/api/admin/v1/adminv1connect"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/version"
)

// Targets finds the adapters of targets.
type EngineSource interface {
	// Engine returns the adapter of a configured target.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// Service is the administration API. Its exported fields are set before
// Handler.
type Service struct {
	Clock     barleystep.Clock
	Store     *version.Store
	Follower  *version.Follower
	Boxes     barleystep.BoxList
	Engines   EngineSource
	Operators []settings.Operator
	Log       *log.Logger
}

const logPrefix = "admin: "

// Handler returns the path of the API and its handler.
func (s *Service) Handler() (path string, h http.Handler) {
	return adminv1connect.NewAdminHandler(api{s}, connect.WithInterceptors(newAuth(s.Operators)))
}

// api carries the methods of the API.
type api struct{ *Service }

var _ adminv1connect.AdminHandler = api{}

// fault turns an error of the store into one that says what to do.
func storeError(err error, accepted int64) error {
	switch {
	case eris.Is(err, version.ErrConflict):
		return errorf(connect.CodeAborted, "Version %d was accepted first. Get it, make your change again and submit against it.", accepted)
	case eris.Is(err, version.ErrInvalid):
		return errorf(connect.CodeInvalidArgument, "%s", err.Error())
	case eris.Is(err, version.ErrNotAccepted):
		return errorf(connect.CodeUnavailable, "The table service did not take it; nothing was and nothing will be changed. Try again later.")
	case eris.Is(err, version.ErrUnknownOutcome):
		return errorf(connect.CodeUnknown, "The table service did not say whether it was accepted. Submit again with the same id.")
	case eris.Is(err, version.ErrNoVersion):
		return errorf(connect.CodeNotFound, "There is no such version.")
	case barleystep.FaultOf(err) == barleystep.FaultUnavailable:
		return errorf(connect.CodeUnavailable, "The table service can't be reached. Try again later.")
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}

// current returns the newest version and its document.
func (s *Service) latest(ctx context.Context) (int64, config.Document, error) {
	v, err := s.Store.Head(ctx)
	if err != nil {
		return 0, config.Document{}, storeError(err, 0)
	}
	d, err := s.documentAt(ctx, v)
	return v, d, err
}

func (s *Service) documentAt(ctx context.Context, v int64) (config.Document, error) {
	if view, _ := s.Follower.View(); view != nil && view.Version() == v {
		return view.Document(), nil
	}
	d, err := s.Store.DocumentAt(ctx, v)
	if err != nil {
		return config.Document{}, storeError(err, 0)
	}
	return d, nil
}

// offer is a change that is to become a version.
type commit struct {
	id     string
	base   int64
	before config.Document
	after  config.Document
	reason string
}

// submit offers the change under the operator's name.
func (s *Service) submit(ctx context.Context, o commit) (int64, error) {
	operator := operatorOf(ctx)
	if o.reason == "" {
		return 0, errorf(connect.CodeInvalidArgument, "Give a reason for the change.")
	}
	if err := authorize(operator, o.before, o.after, o.before.Diff(o.after)); err != nil {
		return 0, err
	}
	if o.id == "" {
		o.id = rand.Text()
	}
	v, err := s.Store.Submit(ctx, o.before, version.Submission{
		ID:       o.id,
		Base:     o.base,
		Document: o.after,
		Author:   operator.Name,
		Reason:   o.reason,
	})
	if err != nil {
		return 0, storeError(err, v)
	}
	s.Log.Info().Int64("version", v).Str("author", operator.Name).Str("reason", o.reason).Msg(logPrefix + "Version accepted.")
	return v, nil
}

// edit changes the newest version by f and submits the result. It tries again
// when another version wins the race, as the edit is made anew each time.
func (s *Service) edit(ctx context.Context, reason string, f func(config.Document) (config.Change, error)) (int64, error) {
	const tries = 5
	var lastErr error
	for range tries {
		v, d, err := s.latest(ctx)
		if err != nil {
			return 0, err
		}
		change, err := f(d)
		if err != nil {
			return 0, err
		}
		v, lastErr = s.submit(ctx, commit{base: v, before: d, after: d.Apply([]config.Change{change}), reason: reason})
		if connect.CodeOf(lastErr) != connect.CodeAborted || lastErr == nil {
			return v, lastErr
		}
	}
	return 0, lastErr
}

// entry decodes an entry of the document.
func decodeEntry[T any](d config.Document, kind config.Kind, name string) (e T, err error) {
	body := d.Entry(kind, name)
	if body == nil {
		return e, errorf(connect.CodeNotFound, "There is no %s %q.", kind, name)
	}
	err = json.Unmarshal(body, &e)
	return e, err
}

func newChange(kind config.Kind, name string, e any) (config.Change, error) {
	body, err := json.Marshal(e)
	return config.Change{Kind: kind, Name: name, Body: body}, err
}

func teamOf(d config.Document, account string) (team string, ok bool) {
	a, err := decodeEntry[config.Account](d, config.KindAccount, account)
	return a.Team, err == nil
}

func parseDocument(text string) (config.Document, error) {
	f, err := config.ParseFile([]byte(text))
	if err != nil {
		return config.Document{}, errorf(connect.CodeInvalidArgument, "%s", err.Error())
	}
	d, err := f.Document()
	if err != nil {
		return config.Document{}, errorf(connect.CodeInvalidArgument, "%s", err.Error())
	}
	return d, nil
}

// statusTimeout bounds a question to one target.
const statusTimeout = 2 * time.Second
