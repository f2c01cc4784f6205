package version

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
)

// Store reads and submits versions in the table service. Its exported fields are set before use; it
// is safe for concurrent use.
type Store struct {
	Table   barleystep.Table
	Objects barleystep.ObjectStore
	Clock   barleystep.Clock
	Meter   *metric.Meter
	// SubmitTimeout is how long a submission waits for the store; the default is 10 seconds.
	SubmitTimeout time.Duration
}

const (
	defaultSubmitTimeout = 10 * time.Second
	retryPause           = 50 * time.Millisecond
	readBatch            = 64 // readBatch is the largest number of versions in one read.
)

// The errors of Submit.
var (
	// ErrConflict means that another version was accepted first.
	ErrConflict = eris.New("version: another version was accepted first")
	// ErrNotAccepted means that the submission was not accepted and will not take effect later.
	ErrNotAccepted = eris.New("version: not accepted; the store did not take it")
	// ErrUnknownOutcome means that the store did not answer in time. Submitting again with the same
	// id returns the outcome.
	ErrUnknownOutcome = eris.New("version: the store did not say whether it was accepted; submit again with the same id")
	// ErrInvalid means that the configuration is invalid; it is wrapped with the reason.
	ErrInvalid = eris.New("version: invalid configuration")
)

// Submission is a proposed version.
type Submission struct {
	// ID identifies the submission. Submitting the same ID again returns the first result.
	ID string
	// Base is the version that the submission changes.
	Base     int64
	Document config.Document
	Author   string
	Reason   string
}

// Submit proposes sub.Document as version sub.Base+1, where base is the document of version
// sub.Base. It returns the accepted version; on a conflict it returns the number of the version
// that won, with ErrConflict.
func (s *Store) Submit(ctx context.Context, base config.Document, sub Submission) (version int64, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "submission %s", sub.ID)
		}
	}()
	if _, err := config.NewView(sub.Base+1, sub.Document); err != nil {
		return 0, eris.Wrap(ErrInvalid, err.Error())
	}
	inc := Increment{
		Version: sub.Base + 1,
		ID:      sub.ID,
		Author:  sub.Author,
		Reason:  sub.Reason,
		At:      s.Clock.Now(),
		Changes: base.Diff(sub.Document),
		Digest:  sub.Document.Digest(),
	}
	m := s.runSubmission(ctx, inc)
	switch m.outcome {
	case outcomeAccepted:
		s.writeSnapshot(ctx, inc.Version, sub.Document)
		return inc.Version, nil
	case outcomeConflict:
		return m.winner, ErrConflict
	case outcomeNotAccepted:
		return 0, ErrNotAccepted
	default:
		return 0, ErrUnknownOutcome
	}
}

func (s *Store) runSubmission(ctx context.Context, inc Increment) submission {
	timeout := s.SubmitTimeout
	if timeout == 0 {
		timeout = defaultSubmitTimeout
	}
	ctx, cancel := clock.WithDeadline(ctx, s.Clock, s.Clock.Now().Add(timeout))
	defer cancel()
	m, act := newSubmission(inc.ID, inc.Version-1)
	for act != actionNone {
		if ctx.Err() != nil {
			return m.timeOut()
		}
		before := m.phase
		m, act = m.step(s.perform(ctx, m, act, inc))
		if m.phase == before && act != actionNone {
			clock.Sleep(ctx, s.Clock, retryPause)
		}
	}
	return m
}

func (s *Store) perform(ctx context.Context, m submission, act action, inc Increment) observation {
	switch act {
	case actionAccept:
		next := head{Version: inc.Version, ID: inc.ID}
		return s.commit(ctx, m.rowVersion, next, barleystep.Put(versionKey(inc.Version), inc.Encode()))
	case actionExclude:
		// This rewrites the head's content unchanged and so only raises the row's version.
		return s.commit(ctx, m.rowVersion, m.oldHead)
	default:
		o, err := s.readState(ctx, inc.Version)
		if err != nil {
			return observation{fault: barleystep.FaultUnavailable}
		}
		return o
	}
}

func (s *Store) commit(ctx context.Context, rowVersion int64, h head, extra ...barleystep.Write) observation {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // All fields have plain types.
	}
	err = s.Table.Commit(ctx, barleystep.Txn{
		Conditions: []barleystep.Condition{barleystep.IfVersion(headKey, rowVersion)},
		Writes:     append([]barleystep.Write{barleystep.Put(headKey, data)}, extra...),
	})
	fault := barleystep.FaultOf(err)
	if fault != barleystep.FaultNone && fault != barleystep.FaultConflict {
		s.Meter.StoreFault("config_write", fault.String())
	}
	return observation{fault: fault}
}

// readState reads the head row and the row of one version.
func (s *Store) readState(ctx context.Context, version int64) (o observation, err error) {
	rows, err := s.Table.Read(ctx, headKey, versionKey(version))
	if err != nil {
		s.Meter.StoreFault("config_read", barleystep.FaultOf(err).String())
		return observation{}, err
	}
	o.rowVersion = rows[0].Version()
	if rows[0].Exists() {
		if err := json.Unmarshal(rows[0].Value(), &o.head); err != nil {
			return observation{}, eris.Wrap(err, "version: head row")
		}
	}
	if rows[1].Exists() {
		if o.row, err = DecodeIncrement(rows[1].Value()); err != nil {
			return observation{}, err
		}
	}
	return o, nil
}

// Head returns the number of the newest version, or zero if there is none.
func (s *Store) Head(ctx context.Context) (int64, error) {
	o, err := s.readState(ctx, 0)
	return o.head.Version, err
}

// Increments returns the accepted versions from first to last, at most readBatch of them and only up
// to the first gap in what was read.
func (s *Store) Increments(ctx context.Context, first, last int64) ([]Increment, error) {
	last = min(last, first+readBatch-1)
	var keys []string
	for v := first; v <= last; v++ {
		keys = append(keys, versionKey(v))
	}
	rows, err := s.Table.Read(ctx, keys...)
	if err != nil {
		s.Meter.StoreFault("config_read", barleystep.FaultOf(err).String())
		return nil, err
	}
	var list []Increment
	for _, r := range rows {
		if !r.Exists() {
			break
		}
		inc, err := DecodeIncrement(r.Value())
		if err != nil {
			return list, err
		}
		list = append(list, inc)
	}
	return list, nil
}

// writeSnapshot writes the whole document every snapshotEvery versions, so that new boxes need not
// read all versions. Errors are only counted, since a missing snapshot costs no more than reads.
func (s *Store) writeSnapshot(ctx context.Context, version int64, d config.Document) {
	if version%snapshotEvery != 0 {
		return
	}
	inc := Increment{Version: version, Changes: d.Entries(), Digest: d.Digest(), At: s.Clock.Now()}
	if err := s.Objects.Put(ctx, snapshotObject(version), inc.Encode()); err != nil {
		s.Meter.StoreFault("snapshot_put", barleystep.FaultOf(err).String())
		return
	}
	data, err := json.Marshal(head{Version: version})
	if err != nil {
		panic(err) // All fields have plain types.
	}
	if err := s.Table.Commit(ctx, barleystep.Txn{Writes: []barleystep.Write{barleystep.Put(snapshotKey, data)}}); err != nil {
		s.Meter.StoreFault("snapshot_row", barleystep.FaultOf(err).String())
	}
}

// Snapshot returns the newest whole document, or a zero Increment if there is none.
func (s *Store) Snapshot(ctx context.Context) (inc Increment, err error) {
	rows, err := s.Table.Read(ctx, snapshotKey)
	if err != nil || !rows[0].Exists() {
		return Increment{}, err
	}
	var h head
	if err := json.Unmarshal(rows[0].Value(), &h); err != nil {
		return Increment{}, eris.Wrap(err, "version: snapshot row")
	}
	data, err := s.Objects.Get(ctx, snapshotObject(h.Version))
	if err != nil {
		return Increment{}, err
	}
	return DecodeIncrement(data)
}

// DocumentAt returns the document of a version, from the nearest snapshot before it and the
// increments after that. It returns ErrNoVersion if there is no such version.
func (s *Store) DocumentAt(ctx context.Context, version int64) (d config.Document, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "version %d", version)
		}
	}()
	have := version / snapshotEvery * snapshotEvery
	if have > 0 {
		if d, err = s.snapshotAt(ctx, have); err != nil {
			have = 0
			d = config.Document{}
		}
	}
	for have < version {
		list, err := s.Increments(ctx, have+1, version)
		if err != nil {
			return config.Document{}, err
		}
		if len(list) == 0 {
			return config.Document{}, ErrNoVersion
		}
		for _, inc := range list {
			d = d.Apply(inc.Changes)
		}
		have = list[len(list)-1].Version
	}
	return d, nil
}

// ErrNoVersion means that there is no version with the given number.
var ErrNoVersion = eris.New("version: there is no such version")

func (s *Store) snapshotAt(ctx context.Context, version int64) (config.Document, error) {
	data, err := s.Objects.Get(ctx, snapshotObject(version))
	if err != nil {
		return config.Document{}, err
	}
	inc, err := DecodeIncrement(data)
	return config.Document{}.Apply(inc.Changes), err
}
