package barleystep

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Topic is one kind of record that the platform's store keeps for the boxes.
type Topic uint8

// The topics of the platform's store.
const (
	// TopicConfiguration holds the configuration, whole, as one record.
	TopicConfiguration Topic = iota
	// TopicTargets holds one record for each target that is alive or leaving.
	TopicTargets
	// TopicBoxes holds one record for each box, written by the box itself.
	TopicBoxes
	// TopicSuspects holds one record for each request that ends targets, written by the lead.
	TopicSuspects
)

// String returns the topic's name for logs and metric attributes.
func (t Topic) String() string {
	return [...]string{"configuration", "targets", "boxes", "suspects"}[t]
}

// Revision counts the changes of the platform's store. It only rises.
type Revision uint64

// ErrHistoryLost is returned by Catalogue.Follow when the changes since the
// given revision are no longer kept. The topic is then to be read anew.
var ErrHistoryLost = eris.New("barleystep: history lost")

// Record is one entry of a topic.
type Record struct {
	key     string
	value   []byte
	removed bool
}

// NewRecord returns a record with the given content. The value is kept, not
// copied.
func NewRecord(key string, value []byte) Record { return Record{key: key, value: value} }

// NewRemoval returns the record that says that the key is gone.
func NewRemoval(key string) Record { return Record{key: key, removed: true} }

// Key returns the name of the record within its topic.
func (r Record) Key() string { return r.key }

// Value returns the encoded content, empty for a removal.
func (r Record) Value() []byte { return r.value }

// Removed reports whether the record says that its key is gone.
func (r Record) Removed() bool { return r.removed }

// Batch is what one call to the catalogue returned.
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

// Catalogue is the part of the platform's store in which the operator, the
// targets and the boxes publish what all boxes must know. Every answer is
// linearizable: it includes all that was acknowledged before the call was made.
// Implementations are safe for concurrent use.
type Catalogue interface {
	// Fetch returns all records of the topic.
	Fetch(ctx context.Context, topic Topic) (Batch, error)
	// Follow waits up to wait for changes after the revision and returns them; a
	// batch without records says that there were none.
	Watch(ctx context.Context, topic Topic, since Revision, wait time.Duration) (Batch, error)
	// Publish writes a record of a topic that the boxes write.
	Publish(ctx context.Context, topic Topic, key string, value []byte) error
	// Withdraw removes a record of such a topic.
	Withdraw(ctx context.Context, topic Topic, key string) error
}
