package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/signature"
)

// Path is the path at which boxes connect to targets for others.
const Path = "/v1/relay"

const (
	queryTarget   = "target"
	protocolName  = "barleystep-relay"
	headerUpgrade = "Upgrade"
	// headerRelays names other boxes of the relay's hall.
	headerRelays = "Barleystep-Relays"
	// headerFailure tells why a relay could not connect to the target.
	headerFailure  = "Barleystep-Failure"
	failureRefused = "refused"
	// maxAnswerBytes bounds the answer of a relay, in bytes. It names a few boxes.
	maxAnswerBytes = 16 << 10
)

// ErrUnreachable is returned when another box could not connect to the target either.
var ErrUnreachable = eris.New("relay: another box does not reach the target either")

// ErrRefused is ErrUnreachable where the target refuses connections from another box too. It also is
// syscall.ECONNREFUSED.
var ErrRefused error = refusedError{}

// errUnavailable is returned when a relay connects to no target for others, or not now.
var errUnavailable = eris.New("relay: the box does not serve as a relay")

// Connector asks other boxes to connect to targets. Its exported fields are set before use; it is
// safe for concurrent use.
type Connector struct {
	// Dialer connects to the other boxes.
	Dialer barleystep.Dialer
	Key    signature.Key
}

// Connect asks the box at the address relay to connect to the target. It returns the addresses of
// other boxes that the relay names. The error is ErrUnreachable if the relay does not reach the
// target, and ErrRefused if the target refuses connections.
func (c Connector) Connect(ctx context.Context, relay, target string) (conn net.Conn, others []string, err error) {
	raw, err := c.Dialer.Dial(ctx, relay)
	if err != nil {
		return nil, nil, eris.Wrap(err, "relay: connect to the box")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	conn, others, err = c.upgrade(raw, relay, target)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = raw.Close() // Nothing was sent to the target.
		return nil, others, err
	}
	return conn, others, nil
}

// upgrade turns the connection to a relay into one to the target.
func (c Connector) upgrade(raw net.Conn, relay, target string) (conn net.Conn, others []string, err error) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, nil, eris.Errorf("relay: %T is not a TCP connection", raw)
	}
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: Path, RawQuery: url.Values{queryTarget: {target}}.Encode()},
		Host:   relay,
		Header: http.Header{"Connection": {headerUpgrade}, headerUpgrade: {protocolName}},
	}
	c.Key.Sign(req.Header, Path)
	if err = req.Write(tcp); err != nil {
		return nil, nil, eris.Wrap(err, "relay: send")
	}
	reader := bufio.NewReader(io.LimitReader(tcp, maxAnswerBytes))
	resp, err := http.ReadResponse(reader, req) //nolint:forbidigo // The reader is limited.
	if err != nil {
		return nil, nil, eris.Wrap(err, "relay: read answer")
	}
	defer resp.Body.Close()
	if list := resp.Header.Get(headerRelays); list != "" {
		others = strings.Split(list, ",")
	}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols && reader.Buffered() == 0:
		return &tunnel{TCPConn: tcp, relay: relay}, others, nil
	case resp.StatusCode == http.StatusBadGateway && resp.Header.Get(headerFailure) == failureRefused:
		return nil, others, ErrRefused
	case resp.StatusCode == http.StatusBadGateway:
		return nil, others, ErrUnreachable
	default:
		return nil, others, eris.Wrapf(errUnavailable, "status %d", resp.StatusCode)
	}
}

// refusedError is the type of ErrRefused.
type refusedError struct{}

// Error returns the error's text.
func (refusedError) Error() string {
	return "relay: the target refuses connections from another box too"
}

// Is reports whether the error is ErrUnreachable or syscall.ECONNREFUSED.
func (refusedError) Is(target error) bool {
	return target == ErrUnreachable || target == syscall.ECONNREFUSED
}
