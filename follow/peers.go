package follow

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
)

// maxWait bounds how long a peer's pull is held.
const maxWait = 20 * time.Second

// replyTimeout is how long a peer may take beyond the wait.
const replyTimeout = 5 * time.Second

// maxAnswer bounds a peer's answer, in bytes.
const maxAnswer = 32 << 20

// RemotePeers are the members of the fleet, called through a peer.Transport.
type RemotePeers struct {
	client *http.Client
	view   func() *membership.View
}

var _ Peers = (*RemotePeers)(nil)

// NewRemotePeers returns the members of a view, called by a client whose
// transport is a peer.Transport.
func NewRemotePeers(client *http.Client, view func() *membership.View) *RemotePeers {
	return &RemotePeers{client: client, view: view}
}

// Offsets implements Peers.
func (p *RemotePeers) Offsets() map[fleet.InstanceID]logservice.Offset {
	offsets := make(map[fleet.InstanceID]logservice.Offset)
	for id, next := range p.view().Offsets() {
		offsets[id] = logservice.Offset(next)
	}
	return offsets
}

// Pull implements Peers.
func (p *RemotePeers) Pull(ctx context.Context, id fleet.InstanceID, from logservice.Offset, wait time.Duration) (Pulled, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	c := peerv1connect.NewConfigServiceClient(p.client, peer.URL(id), connect.WithReadMaxBytes(maxAnswer))
	resp, err := c.Pull(ctx, connect.NewRequest(&peerv1.PullRequest{From: int64(from), WaitMillis: wait.Milliseconds()}))
	if err != nil {
		return Pulled{}, errors.WithStack(err)
	}
	return decodePulled(resp.Msg), nil
}

func decodePulled(m *peerv1.PullResponse) Pulled {
	got := Pulled{Snapshot: m.Snapshot, Next: logservice.Offset(m.Next)}
	for _, r := range m.Records {
		got.Records = append(got.Records, logservice.Record{
			Offset: logservice.Offset(r.GetOffset()),
			Time:   time.Unix(0, r.GetTimeUnixNanos()).UTC(),
			Data:   r.GetData(),
		})
	}
	return got
}

func encodePulled(got Pulled) *peerv1.PullResponse {
	m := &peerv1.PullResponse{Snapshot: got.Snapshot, Next: int64(got.Next)}
	for _, r := range got.Records {
		m.Records = append(m.Records, &peerv1.ConfigRecord{
			Offset:        int64(r.Offset),
			TimeUnixNanos: r.Time.UnixNano(),
			Data:          r.Data,
		})
	}
	return m
}

// service answers peers' pulls.
type service struct {
	follower *Follower
}

// Handler returns the path and the handler that answer peers' pulls, for
// peer.Server.Handle.
func (f *Follower) Handler() (path string, h http.Handler) {
	return peerv1connect.NewConfigServiceHandler(service{f})
}

// Pull implements peerv1connect.ConfigServiceHandler.
func (s service) Pull(ctx context.Context, req *connect.Request[peerv1.PullRequest]) (*connect.Response[peerv1.PullResponse], error) {
	if req.Msg.From < 0 || req.Msg.WaitMillis < 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("negative offset or wait"))
	}
	wait := time.Duration(min(req.Msg.WaitMillis, maxWait.Milliseconds())) * time.Millisecond
	caller, _ := peer.Sender(ctx)
	got, err := s.follower.Serve(ctx, caller.Instance, logservice.Offset(req.Msg.From), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(encodePulled(got)), nil
}
