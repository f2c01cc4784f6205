package suspect_test

import (
	"testing"

	"github.com/barleystep/barleystep/internal/suspect"
)

// BenchmarkCapacityDigest measures the digest of a request with a body of 1 MB.
func BenchmarkCapacityDigest(b *testing.B) {
	const size = 1 << 20
	r := suspect.Request{Account: "acme", Method: "POST", Host: "h", RequestURI: "/a/b", Body: make([]byte, size)}
	b.SetBytes(size)
	for b.Loop() {
		r.Digest()
	}
}
