package gossip

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/api/gossip/v1/gossipv1connect"
	"github.com/barleystep/barleystep/internal/follow"
)

// Server implements the ChangeService: it serves the topics that this box has read from the
// store to other boxes.
type Server struct {
	// Followers maps each topic to its follower.
	Followers map[barleystep.Topic]*follow.Follower
}

// wireTopics maps each topic to its enum value on the wire.
var wireTopics = map[barleystep.Topic]gossipv1.Topic{
	barleystep.TopicConfiguration: gossipv1.Topic_TOPIC_CONFIGURATION,
	barleystep.TopicTargets:       gossipv1.Topic_TOPIC_TARGETS,
}

// GetChanges returns the changes of a topic after the requested revision. The error has the
// code Unavailable if the topic has not been read or has no follower.
func (s *Server) GetChanges(_ context.Context, r *connect.Request[gossipv1.GetChangesRequest]) (*connect.Response[gossipv1.GetChangesResponse], error) {
	for topic, name := range wireTopics {
		f := s.Followers[topic]
		if name != r.Msg.GetTopic() || f == nil {
			continue
		}
		u, ok := f.ChangesSince(barleystep.Revision(r.Msg.GetSince()))
		if !ok {
			break
		}
		out := &gossipv1.GetChangesResponse{Whole: u.Full, Revision: uint64(u.Revision)}
		for _, record := range u.Records {
			out.Records = append(out.Records, &gossipv1.Record{Key: record.Key(), Value: record.Value(), Removed: record.Removed()})
		}
		return connect.NewResponse(out), nil
	}
	return nil, connect.NewError(connect.CodeUnavailable, nil)
}

// Handler returns the HTTP handler for requests of other boxes, and its path.
func (s *Server) Handler() (path string, h http.Handler) {
	return gossipv1connect.NewChangeServiceHandler(s)
}

// Client implements follow.Peers over Connect.
type Client struct {
	HTTP *http.Client
}

// Changes fetches the changes of a topic after the revision since from the box at addr.
func (c *Client) Changes(ctx context.Context, addr string, topic barleystep.Topic, since barleystep.Revision) (u follow.Update, err error) {
	client := gossipv1connect.NewChangeServiceClient(c.HTTP, "http://"+addr)
	resp, err := client.GetChanges(ctx, connect.NewRequest(&gossipv1.GetChangesRequest{Topic: wireTopics[topic], Since: uint64(since)}))
	if err != nil {
		return follow.Update{}, err
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
