package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// digestBytes is the length of a digest: at 128 bits, collisions cannot be found.
const digestBytes = 16

// Digest identifies a request by its content, or a part of prompts: attempts with equal digests
// carry the same request, or have the part in common. The zero value means none.
type Digest [digestBytes]byte

// Request holds what is digested of a request. What is specific to an attempt, such as its id and
// time, is left out. The client account is included, so that nobody can get another account's
// request refused.
type Request struct {
	// Account is the name of the client account, empty on public routes.
	Account string
	Method  string
	Host    string
	// RequestURI is the path with its query.
	RequestURI string
	Body       []byte
}

// Digest returns the request's digest. It costs 0.8 ms per MB (BenchmarkCapacityDigest), and is
// computed only while there are suspects with a body of the same length.
func (r Request) Digest() (d Digest) {
	h := sha256.New()
	for _, part := range []string{r.Account, r.Method, r.Host, r.RequestURI} {
		writeLength(h, len(part))
		_, _ = io.WriteString(h, part)
	}
	h.Write(r.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// Part is a part of the prompts of a service that requests may share, by the id that callers give
// it. Requests of all client accounts may have it, so that the ends under it name theirs.
type Part struct {
	Service string
	ID      string
}

// Digest returns the part's digest.
func (p Part) Digest() (d Digest) {
	h := sha256.New()
	writeLength(h, partSize) // No request begins like this.
	writeLength(h, len(p.Service))
	_, _ = io.WriteString(h, p.Service)
	_, _ = io.WriteString(h, p.ID)
	copy(d[:], h.Sum(nil))
	return d
}

// writeLength separates parts that would be ambiguous when concatenated.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}

// String returns the digest in hex, as in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestFromBytes returns the digest with these bytes; ok is false if their length is wrong.
func DigestFromBytes(data []byte) (d Digest, ok bool) {
	return d, copy(d[:], data) == digestBytes && len(data) == digestBytes
}
