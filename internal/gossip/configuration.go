package gossip

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/api/gossip/v1/gossipv1connect"
)

// Server passes the configuration on to other boxes.
type Server struct {
	// Raw returns the encoded configuration in force and its version.
	Raw func() (value []byte, version int64)
}

// GetConfiguration returns the configuration in force, or the code Unavailable
// if there is none.
func (s *Server) GetConfiguration(context.Context, *connect.Request[gossipv1.GetConfigurationRequest]) (*connect.Response[gossipv1.GetConfigurationResponse], error) {
	value, version := s.Raw()
	if version == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	return connect.NewResponse(&gossipv1.GetConfigurationResponse{Value: value, Version: version}), nil
}

// Handler returns the handler for other boxes.
func (s *Server) Handler() (path string, h http.Handler) {
	return gossipv1connect.NewConfigurationServiceHandler(s)
}

// Client gets configurations from other boxes.
type Client struct {
	HTTP *http.Client
}

// Fetch returns the encoded configuration in force at the box at the address.
func (c *Client) Fetch(ctx context.Context, addr string) (value []byte, err error) {
	client := gossipv1connect.NewConfigurationServiceClient(c.HTTP, "http://"+addr)
	resp, err := client.GetConfiguration(ctx, connect.NewRequest(&gossipv1.GetConfigurationRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetValue(), nil
}
