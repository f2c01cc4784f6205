package barleystep

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Topic is a kind of record in the platform's store that the boxes read.
type Topic uint8

// The topics of the platform's store.
const (
	// TopicConfiguration holds the whole configuration as one record, and one record for each hall
	// that is evacuated.
	TopicConfiguration Topic = iota
	// TopicTargets holds one record for each target that is alive or leaving.
	TopicTargets
	// TopicBoxes holds one record for each box, written by the box itself.
	TopicBoxes
	// TopicSuspects holds one record for each request that is suspected of crashing targets,
	// written by the lead.
	TopicSuspects
)

// String returns the name of the topic in logs and metric attributes.
func (t Topic) String() string {
	return [...]string{"configuration", "targets", "boxes", "suspects"}[t]
}

// ConfigurationKey is the key of the configuration's record in TopicConfiguration.
const ConfigurationKey = "config"

// evacuationPrefix begins the keys of evacuations in TopicConfiguration.
const evacuationPrefix = "evacuate/"

// EvacuationKey returns the key of the record in TopicConfiguration that evacuates a hall. While
// the record exists, whatever its value, the targets of the hall get no requests.
func EvacuationKey(hall HallID) string { return evacuationPrefix + string(hall) }

// EvacuatedHall returns the hall that the record with the key evacuates; ok is false for the key
// of any other record.
func EvacuatedHall(key string) (hall HallID, ok bool) {
	name, ok := strings.CutPrefix(key, evacuationPrefix)
	return HallID(name), ok && name != ""
}

// Revision numbers the changes of the platform's store. It only increases.
type Revision uint64

// ErrHistoryLost is returned by Catalogue.Watch when the store no longer keeps the changes
// since the given revision. The caller must fetch the topic again.
var ErrHistoryLost = eris.New("barleystep: history lost")

// Record is an entry of a topic.
type Record struct {
	key     string
	value   []byte
	removed bool
}

// NewRecord returns a record. It keeps value without copying it.
func NewRecord(key string, value []byte) Record { return Record{key: key, value: value} }

// NewRemoval returns a record that marks the key as removed.
func NewRemoval(key string) Record { return Record{key: key, removed: true} }

// Key returns the name of the record within its topic.
func (r Record) Key() string { return r.key }

// Value returns the encoded content; it is empty for a removal.
func (r Record) Value() []byte { return r.value }

// Removed reports whether the record marks its key as removed.
func (r Record) Removed() bool { return r.removed }

// Batch is the result of one call to a Catalogue.
type Batch struct {
	records  []Record
	revision Revision
}

// NewBatch returns a batch that is current as of the revision.
func NewBatch(records []Record, revision Revision) Batch {
	return Batch{records: records, revision: revision}
}

// Records returns the records, oldest change first.
func (b Batch) Records() []Record { return b.records }

// Revision returns the revision up to which the batch is complete.
func (b Batch) Revision() Revision { return b.revision }

// WatchOptions are the options of a call of Catalogue.Watch.
type WatchOptions struct {
	// Wait is how long the store waits for a change before it answers that there is none.
	Wait time.Duration
	// Timeout bounds the call beyond Wait; zero leaves that to the implementation.
	Timeout time.Duration
	// NewConnection asks for a connection that was not used before: those that are kept may have
	// fallen silent.
	NewConnection bool
}

// Catalogue is the part of the platform's store in which the operator, the targets and the
// boxes publish state that all boxes need. Reads are linearizable: they include all writes that
// were acknowledged before the call. Implementations are safe for concurrent use.
type Catalogue interface {
	// Fetch returns all records of the topic.
	Fetch(ctx context.Context, topic Topic) (Batch, error)
	// Watch waits for changes after the revision since and returns them; a batch without records
	// means that there were none.
	Watch(ctx context.Context, topic Topic, since Revision, o WatchOptions) (Batch, error)
	// Publish writes a record; only topics that boxes write allow it.
	Publish(ctx context.Context, topic Topic, key string, value []byte) error
	// Withdraw removes a record; only topics that boxes write allow it.
	Withdraw(ctx context.Context, topic Topic, key string) error
}
