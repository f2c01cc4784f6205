// Package claim ensures that a request marked as not repeatable is executed at
// most once, whichever boxes the caller retries at and whichever answers of the
// platform's table service are lost.
//
// The protocol is the pure function Step; Manager executes its actions. It is
// specified in docs/spec/claims.pml and explained in docs/design/claims.md.
package claim

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// State is the state of a key, as its row records it.
type State string

// The states of a row.
const (
	// StateHeld means that the holder may have sent the request.
	StateHeld State = "held"
	// StateNotRun means that nothing was sent under the row; any claim may take
	// it over.
	StateNotRun State = "not-run"
	// StateDone means that the whole answer is in the object store.
	StateDone State = "done"
	// StateFailed means that the request started and failed.
	StateFailed State = "failed"
	// StateUnknown means that it can't be determined whether the request ran.
	StateUnknown State = "unknown"
)

// Row is the content of a claim's row in the table.
type Row struct {
	State State `json:"state"`
	// Nonce identifies the claim uniquely.
	Nonce string `json:"nonce"`
	// Digest is a hash of the request, which detects a key that is reused for
	// another request.
	Digest string `json:"digest"`
	// Deadline is the time by which the holder has ended the request.
	Deadline time.Time `json:"deadline"`
	// Object is the name of the stored answer; it is set in StateDone.
	Object string `json:"object,omitempty"`

	version int64
}

// Version returns the version of the row in the table, zero if it is absent.
func (r Row) Version() int64 { return r.version }

// WithVersion returns the row with the version that the table assigned to it.
func (r Row) WithVersion(v int64) Row {
	r.version = v
	return r
}

// Decode decodes a row of the table; an absent one gives a zero Row.
func Decode(t barleystep.Row) (r Row, err error) {
	if !t.Exists() {
		return Row{}, nil
	}
	if err = json.Unmarshal(t.Value(), &r); err != nil {
		return Row{}, eris.Wrapf(err, "claim: row %s", t.Key())
	}
	return r.WithVersion(t.Version()), nil
}

func (r Row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // Unreachable: all fields have plain types.
	}
	return data
}

// Prefix is the common prefix of the keys of all claims.
const Prefix = "claim/"

// rowKey returns the key of a claim's row. The length of the account's name makes
// it unique for each pair of account and key.
func rowKey(account, key string) string {
	return Prefix + lengthPrefixed(account) + key
}

func objectName(account, nonce string) string {
	return "answer/" + lengthPrefixed(account) + nonce
}

func lengthPrefixed(name string) string { return strconv.Itoa(len(name)) + "/" + name + "/" }
