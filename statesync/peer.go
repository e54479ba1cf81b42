package statesync

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/message"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/response"
	"github.com/clementinereel/clementinereel/transfer"
)

const (
	// pullTimeout limits the time until the first byte of a pull.
	pullTimeout = time.Second
	// stallTimeout limits the time without another byte of a response that has begun: long enough for
	// the retransmissions of a link that loses packets, short enough for a second transfer within the
	// time in which a change must take effect.
	stallTimeout = 500 * time.Millisecond
	// maxSnapshotBytes limits the size of a peer's state, on the connection and decompressed: 22,000 routes
	// and 13,000 targets take about 4 MB.
	maxSnapshotBytes = 16 << 20
	// maxHeadBytes limits the header of a peer's response.
	maxHeadBytes = 64 << 10
)

// puller holds the clients that fetch the state of peers.
type puller struct {
	// kept reuses the connections of earlier pulls, fresh opens a new one for each: a kept one may
	// have gone silent, which only a timeout shows.
	kept, fresh *http.Client
}

func newPuller() *puller { return &puller{kept: newPullClient(true), fresh: newPullClient(false)} }

func newPullClient(keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: pullTimeout / 2}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &http.Client{Transport: response.Transport{Next: transport}}
}

// declinedError reports that a peer sends to too many others at the moment.
type declinedError struct {
	// after is the time after which the peer may be asked again.
	after time.Duration
}

// Error implements error.
func (e *declinedError) Error() string { return "the peer is busy for " + e.after.String() }

// errNoDocumentPath reports that a peer of an earlier version does not serve DocumentPath.
var errNoDocumentPath = errors.New("the peer serves no documents alone")

// query returns the parameters of the request.
func (r *pullRequest) query() url.Values {
	q := url.Values{
		paramDocument: {strconv.FormatInt(int64(r.document), 10)},
		paramRegistry: {strconv.FormatInt(int64(r.registry.Offset), 10)},
		paramEpoch:    {strconv.FormatInt(int64(r.registry.Epoch), 10)},
	}
	if r.full {
		q.Set(paramFull, "1")
	}
	if r.targetsOnly {
		q.Set(paramPart, partTargets)
	}
	return q
}

// pull fetches what the peer has beyond the request.
func pull(ctx context.Context, client *http.Client, addr string, r pullRequest) (PeerSnapshot, error) {
	body, err := get(ctx, client, addr, Path, r)
	if err != nil {
		return PeerSnapshot{}, err
	}
	return decodePeerSnapshot(body)
}

// pullDocument fetches the peer's document; nil if it is not newer than the request's.
func pullDocument(ctx context.Context, client *http.Client, addr string, r pullRequest) (*DocumentTransfer, error) {
	body, err := get(ctx, client, addr, DocumentPath, r)
	if err != nil || len(body) == 0 {
		return nil, err
	}
	t := new(DocumentTransfer)
	return t, message.Decode(body, t)
}

// get returns the body that the peer serves. It ends when no byte arrives in time.
func get(ctx context.Context, client *http.Client, addr, path string, r pullRequest) ([]byte, error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path+"?"+r.query().Encode(), nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Accept-Encoding", contentEncoding)
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, path); err != nil {
		return nil, err
	}
	waited := time.Since(began)
	transfer.Progress(ctx)
	body, err := transfer.ReadAll(transfer.NewReader(ctx, resp.Body), maxSnapshotBytes, nil)
	if err != nil || len(body) > transfer.SmallBytes {
		eventlog.Info(eventlog.StatePulled, "peer", addr, "path", path, "bytes", len(body), "waited_ms", waited.Milliseconds(), "took_ms", time.Since(began).Milliseconds(),
			"document", r.document, "registry", r.registry.Offset, "complete", err == nil)
	}
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "peer's state of at most %d bytes", maxSnapshotBytes)
	case resp.Header.Get("Content-Encoding") == contentEncoding:
		return decompress(body)
	}
	return body, nil
}

// checkStatus returns an error unless the response carries what was asked for, or says that there is
// nothing newer.
func checkStatus(resp *http.Response, path string) error {
	switch {
	case resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode == http.StatusNotFound && path == DocumentPath:
		return errors.WithStack(errNoDocumentPath)
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get(header.RetryAfter), 64); err == nil && resp.StatusCode == http.StatusServiceUnavailable {
		return &declinedError{min(time.Duration(seconds*float64(time.Second)), pullTimeout)}
	}
	const maxReasonBytes = 80
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes)) // the status is reported without it
	return errors.Errorf("peer responded with status %d: %s", resp.StatusCode, reason)
}

func decodePeerSnapshot(body []byte) (PeerSnapshot, error) {
	var w PeerSnapshot
	if err := message.Decode(body, &w); err != nil {
		return w, err
	}
	if err := registry.SetStartTimes(w.entries(), w.Starts); err != nil {
		return w, err
	}
	w.dropForeign()
	return w, nil
}
