// Package claim makes sure that a request marked as not repeatable runs at most
// once, whichever box the caller asks and whatever answer of the platform's
// table service is lost.
//
// The protocol is the pure function Step; Book carries its actions out. It is
// specified in docs/spec/claims.pml and explained in docs/design/claims.md.
package claim

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// State is what a row says of its key.
type State string

// The states of a row.
const (
	// StateHeld means that the holder may have sent the request.
	StateHeld State = "held"
	// StateNotRun means that nothing was sent under the row; anyone may take it
	// over.
	StateNotRun State = "not-run"
	// StateDone means that the whole answer is in the object store.
	StateDone State = "done"
	// StateFailed means that the request was started and failed.
	StateFailed State = "failed"
	// StateUnknown means that nobody can tell whether the request ran.
	StateUnknown State = "unknown"
)

// Row is the content of a claim's row in the table.
type Row struct {
	State State `json:"state"`
	// Nonce names the claim: no two claims share one.
	Nonce string `json:"nonce"`
	// Digest is a hash of the request, so that a key used again for another one
	// is noticed.
	Digest string `json:"digest"`
	// Deadline is when the holder has ended the request at the latest.
	Deadline time.Time `json:"deadline"`
	// Object names the stored answer of a done request.
	Object string `json:"object,omitempty"`

	version int64
}

// Version returns the version of the row in the table, zero if it is absent.
func (r Row) Version() int64 { return r.version }

// WithVersion returns the row with the version that the table has given it.
func (r Row) WithVersion(v int64) Row {
	r.version = v
	return r
}

// Decode reads the content of a row of the table; a missing one gives a zero Row.
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
		panic(err) // All fields have plain types.
	}
	return data
}

// Prefix is the beginning of the keys of all claims.
const Prefix = "claim/"

// rowKey returns the key of a claim's row. The account's length keeps two
// pairs of account and key from having one name.
func rowKey(account, key string) string {
	return Prefix + lengthPrefixed(account) + key
}

func objectName(account, nonce string) string {
	return "answer/" + lengthPrefixed(account) + nonce
}

func lengthPrefixed(s string) string { return strconv.Itoa(len(s)) + "/" + s + "/" }
