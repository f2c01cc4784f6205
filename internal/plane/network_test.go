//go:build !race

package plane_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
)

// network simulates the network between boxes: delay, loss, links of limited bandwidth, and
// pairs that cannot reach each other. The fate of a datagram depends only on the seed, its
// sender, its receiver and its number.
type network struct {
	seed uint64
	// loss is the fraction of datagrams that are lost.
	loss float64

	mu    sync.Mutex
	boxes map[netip.AddrPort]*box
	// cut reports whether datagrams from one box to another are dropped; nil drops none.
	cut func(from, to *box) bool
	// stuck reports whether calls from one box to another get no answer; nil means none.
	stuck func(from, to *box) bool
	// datagrams and bytes count what was sent.
	datagrams int
	bytes     int
	largest   int
}

const (
	// hallDelay and farDelay are the one-way delays within a hall and between halls, and jitter
	// the maximum added at random: a network within one region.
	hallDelay = 300 * time.Microsecond
	farDelay  = 900 * time.Microsecond
	jitter    = 200 * time.Microsecond
	// peerConns and storeConns are how many open connections a box keeps to a peer and to the store.
	peerConns  = 2
	storeConns = 4
	// socketQueue bounds the datagrams that wait at a socket, as operating systems do.
	socketQueue = 1024
)

type datagram struct {
	data []byte
	from netip.AddrPort
}

// socket is a box's endpoint on the network.
type socket struct {
	box    *box
	in     chan datagram
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// free is when the link will have sent, or received, the queued datagrams.
	free   time.Time
	number uint64
}

// Listen opens the box's socket.
func (b *box) Listen(netip.AddrPort) (barleystep.Socket, error) {
	s := &socket{box: b, in: make(chan datagram, socketQueue), closed: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.socket = s
	return s, nil
}

// ReadFrom waits for a datagram.
func (s *socket) ReadFrom(buffer []byte) (size int, from netip.AddrPort, err error) {
	select {
	case d := <-s.in:
		return copy(buffer, d.data), d.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteTo sends a datagram through the links of both boxes.
func (s *socket) WriteTo(data []byte, addr netip.AddrPort) error {
	n := s.box.simulation.network
	to := n.count(s.box, addr, len(data))
	if to == nil || n.isCut(s.box, to) || n.random(s, addr, 1) < n.loss {
		return nil
	}
	delay := n.delay(s.box, to) + time.Duration(n.random(s, addr, 2)*float64(jitter))
	d := datagram{data: append([]byte(nil), data...), from: s.box.addr}
	time.AfterFunc(s.transmit(len(data))+delay, func() { to.deliver(d) })
	return nil
}

// Close closes the socket.
func (s *socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// transmit returns how long the bytes wait for the link and take to be transmitted.
func (s *socket) transmit(size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(size) / s.box.linkBytes * float64(time.Second)))
	return s.free.Sub(now)
}

// deliver puts a datagram into the box's queue, after the box's freeze if it is frozen.
func (b *box) deliver(d datagram) {
	b.mu.Lock()
	s, wait := b.socket, time.Until(b.frozen)
	b.mu.Unlock()
	if s == nil {
		return
	}
	time.AfterFunc(max(wait, s.transmit(len(d.data))), func() {
		select {
		case s.in <- d:
		default: // The queue is full.
		}
	})
}

func (n *network) count(from *box, addr netip.AddrPort, size int) *box {
	n.mu.Lock()
	defer n.mu.Unlock()
	from.sent += size
	if to := n.boxes[addr]; to != nil {
		to.received += size
	}
	n.datagrams++
	n.bytes += size
	n.largest = max(n.largest, size)
	return n.boxes[addr]
}

// counts returns how many datagrams and bytes were sent, and the largest.
func (n *network) counts() (datagrams, size, largest int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.datagrams, n.bytes, n.largest
}

func (n *network) isCut(from, to *box) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

func (n *network) setCut(cut func(from, to *box) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) isStuck(from, to *box) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stuck != nil && n.stuck(from, to)
}

func (n *network) setStuck(stuck func(from, to *box) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stuck = stuck
}

func (n *network) delay(from, to *box) time.Duration {
	if from.hall == to.hall {
		return hallDelay
	}
	return farDelay
}

// random returns a pseudorandom number from 0 to 1.
func (n *network) random(s *socket, to netip.AddrPort, salt uint64) float64 {
	s.mu.Lock()
	number := s.number
	s.mu.Unlock()
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, n.seed)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = append(b, s.box.addr.String()...)
	b = append(b, to.String()...)
	return float64(xxhash.Sum64(b)>>11) / (1 << 53)
}

// traceConn reports to the caller whether its call takes a kept connection.
func traceConn(ctx context.Context, kept bool) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: kept})
	}
}

// CloseIdleConnections closes the box's kept connections to other boxes.
func (b *box) CloseIdleConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = nil
}

// RoundTrip performs an HTTP call from this box to another one.
func (b *box) RoundTrip(r *http.Request) (*http.Response, error) {
	n := b.simulation.network
	to := n.count(b, netip.MustParseAddrPort(r.URL.Host), 0)
	silent := b.takesSilent(r.URL.Host)
	traceConn(r.Context(), silent)
	if to == nil || n.isCut(b, to) || n.isCut(to, b) || n.isStuck(b, to) || silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	sleep(n.delay(b, to))
	l := to.awaitProcess()
	if l == nil {
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)() // A kill closes the connections of the process.
	answer := httptest.NewRecorder()
	l.handler.ServeHTTP(answer, r.WithContext(ctx))
	if l.ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	n.count(to, b.addr, answer.Body.Len())
	sleep(n.delay(to, b) + to.currentSocket().transmit(answer.Body.Len()) + b.currentSocket().transmit(answer.Body.Len()))
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}
