package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/barleystep/barleystep/internal/conn"
)

// BenchmarkCapacityRelayConnect measures a connection through a relay, with both boxes and the target
// on one machine.
func BenchmarkCapacityRelayConnect(b *testing.B) {
	f := newFixture(b)
	go discard(f.target)
	for b.Loop() {
		box, _, err := f.connect()
		if err != nil {
			b.Fatal(err)
		}
		_ = box.Close()
	}
}

// BenchmarkCapacityDirectConnect measures a direct connection, for comparison.
func BenchmarkCapacityDirectConnect(b *testing.B) {
	f := newFixture(b)
	go discard(f.target)
	dialer := conn.TCP{Timeout: 10 * time.Second}
	for b.Loop() {
		box, err := dialer.Dial(b.Context(), f.target.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		_ = box.Close()
	}
}

// BenchmarkCapacityRelayBytes measures an answer of 16 kB through a relay.
func BenchmarkCapacityRelayBytes(b *testing.B) {
	f := newFixture(b)
	box, target := f.pair(b)
	const size = 16 << 10
	go func() {
		question, answer := make([]byte, 1), make([]byte, size)
		for {
			if _, err := io.ReadFull(target, question); err != nil {
				return
			}
			_, _ = target.Write(answer)
		}
	}()
	b.SetBytes(size)
	answer := make([]byte, size)
	for b.Loop() {
		if _, err := box.Write([]byte{0}); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(box, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// discard accepts connections and closes them when their peer does.
func discard(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
	}
}
