package reply

import (
	"maps"
	"net/http"
	"strings"

	"github.com/barleystep/barleystep"
)

// Head is the status and the header fields of one answer. The zero value means that there is no
// answer.
type Head struct {
	status int
	header http.Header
	source barleystep.TargetID
	sealed bool
}

// FromBox returns the head of an answer that the box itself gives.
func FromBox(status int, header http.Header) Head {
	return Head{status: status, header: header}
}

// FromTarget returns the head of a target's answer without the fields that belong to the connection
// to the target. It copies the header.
func FromTarget(source barleystep.TargetID, answer *http.Response, sealed bool) Head {
	header := maps.Clone(answer.Header)
	if header == nil {
		header = make(http.Header)
	}
	RemoveHopByHop(header)
	header.Del("Content-Length") // Set again where the length of the body is known.
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // A nil value keeps the HTTP server of the box from adding its own.
	}
	return Head{status: answer.StatusCode, header: header, source: source, sealed: sealed}
}

// Status returns the HTTP status, 0 if there is no answer.
func (h Head) Status() int { return h.status }

// Source returns the target that gave the answer, empty for the box itself.
func (h Head) Source() barleystep.TargetID { return h.source }

// Sealed reports whether the head carries its target's digest.
func (h Head) Sealed() bool { return h.sealed }

// ContentType returns the type of the body, empty if it is not stated.
func (h Head) ContentType() string { return h.header.Get("Content-Type") }

// hopByHopHeaders are the header fields that belong to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes the header fields that belong to one connection only.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
