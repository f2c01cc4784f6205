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

// EngineSource looks up the engine adapters of targets.
type EngineSource interface {
	// Engine returns the adapter of a configured target; ok is false if there is none.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// Service is the administration API. Its exported fields are set before Handler is
// called.
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

// maxMessageBytes bounds a request, in bytes. The longest are configurations.
const maxMessageBytes = 16 << 20

// Handler returns the API's handler and the path to mount it at.
func (s *Service) Handler() (path string, h http.Handler) {
	return adminv1connect.NewAdminHandler(api{s}, connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(newAuth(s.Operators)))
}

// api implements the API's RPC methods.
type api struct{ *Service }

var _ adminv1connect.AdminHandler = api{}

// storeError converts an error of the version store to one that tells the operator
// what to do. accepted is the version that a conflicting submission got.
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

// latest returns the newest version and its document.
func (s *Service) latest(ctx context.Context) (int64, config.Document, error) {
	v, err := s.Store.Head(ctx)
	if err != nil {
		return 0, config.Document{}, storeError(err, 0)
	}
	d, err := s.documentAt(ctx, v)
	return v, d, err
}

// documentAt returns the document of a version, from the follower if it has it.
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

// commit is a configuration to be submitted as a new version. before is the document
// of the base version.
type commit struct {
	id     string
	base   int64
	before config.Document
	after  config.Document
	reason string
}

// submit checks the operator's permissions and submits the configuration in the
// operator's name. It returns the number of the new version.
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

// edit applies f to the newest version and submits the result. If another version is
// accepted first, it applies f to that one, at most five times in all.
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

// decodeEntry decodes an entry of the document.
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

// statusTimeout limits the time for all targets to report their load.
const statusTimeout = 2 * time.Second
