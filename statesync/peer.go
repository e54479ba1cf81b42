package statesync

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// Path is the HTTP path at which instances serve their state to peers.
const Path = "/peer/state"

const (
	// pullTimeout limits a pull from a peer.
	pullTimeout = time.Second
	// maxSnapshotBytes limits the size of a peer's state: 22,000 routes and 13,000 targets take
	// about 4 MB.
	maxSnapshotBytes = 32 << 20
	// smallResponseBytes is the size up to which a response is not worth a log line.
	smallResponseBytes = 16 << 10
)

// ServeHTTP answers a peer's pull with the state that is newer than the peer's.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err1 := strconv.ParseInt(r.FormValue("document"), 10, 64)
	offset, err2 := strconv.ParseInt(r.FormValue("registry"), 10, 64)
	epoch, err3 := strconv.ParseInt(cmp.Or(r.FormValue("epoch"), "0"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		http.Error(w, "document, registry and epoch are numbers", http.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(s.peerSnapshot(pullRequest{
		document: document.Version(version),
		registry: registry.Position{Epoch: registry.Epoch(epoch), Offset: registry.Offset(offset)},
		full:     r.FormValue("all") != "",
	}))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	serving := s.serving.Add(1)
	defer s.serving.Add(-1)
	began := time.Now()
	_, err = w.Write(body) // the peer retries a pull that failed
	if len(body) > smallResponseBytes {
		eventlog.Info(eventlog.StateServed, "to", r.RemoteAddr, "bytes", len(body), "serving", serving, "took_ms", time.Since(began).Milliseconds(), "complete", err == nil)
	}
}

// puller holds the clients that fetch the state of peers.
type puller struct {
	// kept reuses the connections of earlier pulls, fresh opens a new one for each: a kept one may
	// have gone silent, which only a timeout shows.
	kept, fresh *http.Client
}

func newPuller() *puller { return &puller{kept: newPullClient(true), fresh: newPullClient(false)} }

func newPullClient(keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: pullTimeout / 2}
	return &http.Client{
		Timeout: pullTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		},
	}
}

// pull fetches what the peer has beyond the request.
func pull(ctx context.Context, client *http.Client, addr string, r pullRequest) (PeerSnapshot, error) {
	var w PeerSnapshot
	began := time.Now()
	q := url.Values{
		"document": {strconv.FormatInt(int64(r.document), 10)},
		"registry": {strconv.FormatInt(int64(r.registry.Offset), 10)},
		"epoch":    {strconv.FormatInt(int64(r.registry.Epoch), 10)},
	}
	if r.full {
		q.Set("all", "1")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path+"?"+q.Encode(), nil)
	if err != nil {
		return w, errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return w, errors.WithStack(err)
	}
	defer resp.Body.Close()
	waited := time.Since(began)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil || len(body) > smallResponseBytes {
		eventlog.Info(eventlog.StatePulled, "peer", addr, "bytes", len(body), "waited_ms", waited.Milliseconds(), "took_ms", time.Since(began).Milliseconds(),
			"document", r.document, "registry", r.registry.Offset, "complete", err == nil)
	}
	if err != nil {
		return w, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return w, errors.Errorf("peer responded with status %d: %.80s", resp.StatusCode, body)
	}
	return decodePeerSnapshot(body)
}

func decodePeerSnapshot(body []byte) (PeerSnapshot, error) {
	var w PeerSnapshot
	if err := cbor.Unmarshal(body, &w); err != nil {
		return w, errors.WithStack(err)
	}
	return w, registry.SetStartTimes(w.entries(), w.Starts)
}
