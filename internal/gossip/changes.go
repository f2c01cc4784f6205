package gossip

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/api/gossip/v1/gossipv1connect"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/follow"
)

// Server implements the ChangeService: it serves the topics that this box has read from the
// store to other boxes.
type Server struct {
	// Followers maps each topic to its follower.
	Followers map[barleystep.Topic]*follow.Follower

	once  sync.Once
	slots chan struct{}
}

// maxConcurrentAnswers bounds the answers that are encoded at a time: a collector has to pass on
// whole topics to all boxes of its hall when they start together.
const maxConcurrentAnswers = 8

// acquire waits for a slot to encode an answer; it returns an error if ctx ends first.
func (s *Server) acquire(ctx context.Context) error {
	s.once.Do(func() { s.slots = make(chan struct{}, maxConcurrentAnswers) })
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) release() { <-s.slots }

// wireTopics maps each topic to its enum value on the wire.
var wireTopics = map[barleystep.Topic]gossipv1.Topic{
	barleystep.TopicConfiguration: gossipv1.Topic_TOPIC_CONFIGURATION,
	barleystep.TopicTargets:       gossipv1.Topic_TOPIC_TARGETS,
}

// Formats of a topic's records.
const (
	formatBasic uint32 = iota
	// formatEvacuations adds the evacuations of halls to the configuration's topic.
	formatEvacuations
)

// formats holds the format of each topic that is not formatBasic.
var formats = map[gossipv1.Topic]uint32{gossipv1.Topic_TOPIC_CONFIGURATION: formatEvacuations}

// topicAt returns the topic at an index of a datagram's list.
func topicAt(i int) gossipv1.Topic { return gossipv1.Topic(i + 1) }

// isIn reports whether the record is part of the format.
func isIn(r barleystep.Record, format uint32) bool {
	_, evacuates := barleystep.EvacuatedHall(r.Key())
	return format >= formatEvacuations || !evacuates
}

// errOlderFormat is returned by a box whose records of a topic are incomplete.
var errOlderFormat = eris.New("gossip: the box reads fewer records of the topic")

// GetChanges returns the changes of a topic after the requested revision. The error has the
// code Unavailable if the topic has not been read or has no follower.
func (s *Server) GetChanges(ctx context.Context, r *connect.Request[gossipv1.GetChangesRequest]) (*connect.Response[gossipv1.GetChangesResponse], error) {
	if err := s.acquire(ctx); err != nil {
		return nil, err
	}
	defer s.release()
	for topic, name := range wireTopics {
		f := s.Followers[topic]
		if name != r.Msg.GetTopic() || f == nil {
			continue
		}
		u, ok := f.ChangesSince(barleystep.Revision(r.Msg.GetSince()))
		if !ok {
			break
		}
		out := &gossipv1.GetChangesResponse{Whole: u.Full, Revision: uint64(u.Revision), Format: formats[name]}
		for _, record := range u.Records {
			if !isIn(record, r.Msg.GetFormat()) {
				continue
			}
			out.Records = append(out.Records, &gossipv1.Record{Key: record.Key(), Value: record.Value(), Removed: record.Removed()})
		}
		return connect.NewResponse(out), nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, nil)
}

const (
	// maxChangesRequestBytes bounds a request for changes, in bytes.
	maxChangesRequestBytes = 4 << 10
	// maxChangesBytes bounds the changes of another box, in bytes, like a page of the store.
	maxChangesBytes = 16 << 20
)

// Handler returns the HTTP handler for requests of other boxes, and its path.
func (s *Server) Handler() (path string, h http.Handler) {
	return gossipv1connect.NewChangeServiceHandler(s, connect.WithReadMaxBytes(maxChangesRequestBytes))
}

// Client implements follow.Peers over Connect.
type Client struct {
	Clock barleystep.Clock
	HTTP  *http.Client
}

// Changes fetches the changes of a topic after the revision since from the box at addr.
func (c *Client) Changes(ctx context.Context, addr string, topic barleystep.Topic, since barleystep.Revision) (u follow.Update, err error) {
	client := gossipv1connect.NewChangeServiceClient(c.HTTP, "http://"+addr, connect.WithReadMaxBytes(maxChangesBytes))
	name := wireTopics[topic]
	var resp *connect.Response[gossipv1.GetChangesResponse]
	err = conn.Repeat(ctx, c.Clock, c.HTTP, conn.SilentTimeout, func(ctx context.Context) (err error) {
		resp, err = client.GetChanges(ctx, connect.NewRequest(&gossipv1.GetChangesRequest{Topic: name, Since: uint64(since), Format: formats[name]}))
		return err
	})
	if err != nil {
		return follow.Update{}, err
	}
	if resp.Msg.GetFormat() < formats[name] {
		return follow.Update{}, errOlderFormat
	}
	u = follow.Update{Full: resp.Msg.GetWhole(), Revision: barleystep.Revision(resp.Msg.GetRevision())}
	for _, r := range resp.Msg.GetRecords() {
		if r.GetRemoved() {
			u.Records = append(u.Records, barleystep.NewRemoval(r.GetKey()))
		} else {
			u.Records = append(u.Records, barleystep.NewRecord(r.GetKey(), r.GetValue()))
		}
	}
	return u, nil
}
