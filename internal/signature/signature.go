// Package signature lets boxes prove to each other that they know the secret that all boxes share.
package signature

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Key signs outgoing calls with the secret that all boxes share and verifies the signatures of
// incoming ones. With an empty secret, which the settings allow only where nobody else reaches the
// boxes, nothing is verified.
type Key struct {
	Secret string
	Box    barleystep.BoxID
	Clock  barleystep.Clock
}

const (
	header = "Barleystep-Peer"
	// maxClockSkew is the largest difference between two boxes' clocks at which a signature is
	// still accepted.
	maxClockSkew = time.Minute
)

// ErrInvalid is returned for a call that is not signed by a box.
var ErrInvalid = eris.New("signature: the caller did not prove that it is a box")

// Sign signs a call of the procedure or path.
func (k Key) Sign(h http.Header, procedure string) {
	at := strconv.FormatInt(clock.TimeOfDay(k.Clock).Unix(), 10)
	h.Set(header, string(k.Box)+" "+at+" "+k.signature(string(k.Box), at, procedure))
}

// signature returns the hexadecimal HMAC-SHA256 of a call. The time is in Unix seconds.
func (k Key) signature(box, at, procedure string) string {
	mac := hmac.New(sha256.New, []byte(k.Secret))
	mac.Write([]byte(box + "\n" + at + "\n" + procedure))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify returns ErrInvalid if the call of the procedure or path is not signed by a box.
func (k Key) Verify(h http.Header, procedure string) error {
	if k.Secret == "" {
		return nil
	}
	parts := strings.Split(h.Get(header), " ")
	if len(parts) != 3 {
		return ErrInvalid
	}
	want := k.signature(parts[0], parts[1], procedure)
	if !hmac.Equal([]byte(want), []byte(parts[2])) || !k.isRecent(parts[1]) {
		return ErrInvalid
	}
	return nil
}

func (k Key) isRecent(at string) bool {
	sec, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return false
	}
	return clock.TimeOfDay(k.Clock).Sub(time.Unix(sec, 0)).Abs() <= maxClockSkew
}

// RequireBox returns a handler that passes only requests signed by another box to next and answers
// others with status 401.
func (k Key) RequireBox(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := k.Verify(r.Header, r.URL.Path); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
