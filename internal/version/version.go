// Package version stores the versions of the configuration in the platform's table service and
// distributes each new one to every box.
//
// A version is accepted by one conditional transaction on the head row. Store submits and reads
// versions; Follower holds the current one on this box and never goes back to an older one; Reader
// and Subscriber keep it up to date from the table and from peers.
package version

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/config"
)

// Increment is one accepted version: its changes, with their author and reason.
type Increment struct {
	Version int64 `json:"version"`
	// ID identifies the submission, so that its outcome can be determined when an answer is lost.
	ID      string          `json:"id"`
	Author  string          `json:"author"`
	Reason  string          `json:"reason"`
	At      time.Time       `json:"at"`
	Changes []config.Change `json:"changes"`
	// Digest is the digest of the whole document after the changes.
	Digest string `json:"digest"`
}

// Encode returns the increment as JSON, as it is stored and sent.
func (i Increment) Encode() []byte {
	data, err := json.Marshal(i)
	if err != nil {
		panic(err) // All fields have plain types.
	}
	return data
}

// DecodeIncrement decodes the result of Encode.
func DecodeIncrement(data []byte) (i Increment, err error) {
	if err = json.Unmarshal(data, &i); err != nil {
		return Increment{}, eris.Wrap(err, "version: decode increment")
	}
	return i, nil
}

// head is the content of the head row.
type head struct {
	Version int64  `json:"version"`
	ID      string `json:"id"`
}

const (
	headKey = "config/head"
	// snapshotKey is the key of the row that holds the number of the latest snapshot in the object
	// store.
	snapshotKey = "config/snapshot"
	// snapshotEvery is the number of versions between snapshots.
	snapshotEvery = 64
)

func versionKey(v int64) string { return fmt.Sprintf("config/v/%012d", v) }

func snapshotObject(v int64) string { return fmt.Sprintf("config/snapshot/%012d", v) }
