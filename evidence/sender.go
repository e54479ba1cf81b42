package evidence

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
)

// maxMessage is the maximum size of a message from another instance, in bytes.
const maxMessage = 4 << 20

// Sender sends reports and verdicts to other instances. Its methods may be
// called concurrently.
type Sender interface {
	// Report sends reports of this instance to an aggregator and returns the
	// verdicts in its response.
	Report(ctx context.Context, to fleet.InstanceID, rs []outlier.Report) ([]outlier.Verdicts, error)
	// Announce sends verdicts to an instance.
	Announce(ctx context.Context, to fleet.InstanceID, vs []outlier.Verdicts) error
}

// remote is a Sender that uses Connect RPC.
type remote struct {
	client *http.Client
	url    func(fleet.InstanceID) string
}

// NewSender returns a sender that calls other instances with client. The url
// function returns the base URL of an instance.
func NewSender(client *http.Client, url func(fleet.InstanceID) string) Sender {
	return &remote{client: client, url: url}
}

func (r *remote) service(to fleet.InstanceID) peerv1connect.EvidenceServiceClient {
	return peerv1connect.NewEvidenceServiceClient(r.client, r.url(to), connect.WithReadMaxBytes(maxMessage))
}

// Report implements Sender.
func (r *remote) Report(ctx context.Context, to fleet.InstanceID, rs []outlier.Report) ([]outlier.Verdicts, error) {
	resp, err := r.service(to).Report(ctx, connect.NewRequest(encodeReports(rs)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return decodeVerdicts(resp.Msg.Verdicts), nil
}

// Announce implements Sender.
func (r *remote) Announce(ctx context.Context, to fleet.InstanceID, vs []outlier.Verdicts) error {
	req := &peerv1.AnnounceRequest{Verdicts: encodeVerdicts(vs)}
	_, err := r.service(to).Announce(ctx, connect.NewRequest(req))
	return errors.WithStack(err)
}

// server handles calls from other instances.
type server struct {
	table *Table
}

// Handler returns the path and the handler for calls from other instances.
func (t *Table) Handler() (path string, h http.Handler) {
	return peerv1connect.NewEvidenceServiceHandler(server{t}, connect.WithReadMaxBytes(maxMessage))
}

// Report implements peerv1connect.EvidenceServiceHandler.
func (s server) Report(_ context.Context, req *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	rs, err := decodeReports(req.Msg)
	if err != nil {
		s.table.counters.malformed.Inc(1)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	now := s.table.now()
	var vs []outlier.Verdicts
	for _, r := range rs {
		if v, ok := s.table.handleReport(now, r); ok {
			vs = append(vs, v)
		}
	}
	return connect.NewResponse(&peerv1.ReportResponse{Verdicts: encodeVerdicts(vs)}), nil
}

// Announce implements peerv1connect.EvidenceServiceHandler.
func (s server) Announce(_ context.Context, req *connect.Request[peerv1.AnnounceRequest]) (*connect.Response[peerv1.AnnounceResponse], error) {
	now := s.table.now()
	for _, v := range decodeVerdicts(req.Msg.Verdicts) {
		s.table.apply(now, v)
	}
	return connect.NewResponse(&peerv1.AnnounceResponse{}), nil
}

// millis converts a duration received from another instance, capped at 24 h.
func millis(ms uint64) time.Duration {
	const maxMillis = uint64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(ms, maxMillis)) * time.Millisecond
}
