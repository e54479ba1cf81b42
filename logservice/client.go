package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/response"
)

// DefaultTimeout bounds one call to the platform, long polls not counted.
const DefaultTimeout = 5 * time.Second

// maxReplyHeader bounds the header of a reply of the platform, in bytes.
const maxReplyHeader = 64 << 10

// maxReply bounds a reply of the platform, in bytes.
const maxReply = 64 << 20

// Client speaks the protocol of docs/PLATFORM.md. It serves as Log and List.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var (
	_ Log  = (*Client)(nil)
	_ List = (*Client)(nil)
)

// NewClient returns a client of the platform at a base URL such as
// "http://10.0.0.5:7000". A zero timeout means DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	tr := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxReplyHeader}
	return &Client{base: base, http: &http.Client{Transport: response.Transport{Next: tr}}, timeout: timeout}
}

// AppendReply is the platform's answer to an append.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// ReadReply is the platform's answer to a read.
type ReadReply struct {
	First   Offset       `json:"first"`
	Next    Offset       `json:"next"`
	Records []WireRecord `json:"records"`
}

// WireRecord is a Record as the protocol carries it; Data is base64 in JSON.
type WireRecord struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(ErrRefused, err.Error())
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var reply AppendReply
	status, err := c.do(req, &reply)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		return reply.Offset, nil
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return 0, errors.Wrapf(ErrRefused, "log answered %d", status)
	}
	return 0, errors.Errorf("log answered %d", status)
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, errors.WithStack(err)
	}
	var reply ReadReply
	status, err := c.do(req, &reply)
	if err != nil {
		return Batch{}, err
	}
	b := Batch{First: reply.First, Next: reply.Next}
	for _, r := range reply.Records {
		b.Records = append(b.Records, Record(r))
	}
	switch status {
	case http.StatusOK:
		return b, nil
	case http.StatusGone:
		return b, errors.WithStack(ErrExpired)
	}
	return Batch{}, errors.Errorf("log answered %d", status)
}

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/instances", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var list []Listed
	status, err := c.do(req, &list)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("instance list answered %d", status)
	}
	return list, nil
}

func (c *Client) streamURL(stream string) string {
	return fmt.Sprintf("%s/v1/streams/%s/records", c.base, url.PathEscape(stream))
}

// do sends a request and decodes a JSON reply of status 200, 201 or 410.
func (c *Client) do(req *http.Request, reply any) (int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxReply)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusGone:
	default:
		_, _ = io.Copy(io.Discard, body)
		return resp.StatusCode, nil
	}
	if err := json.NewDecoder(body).Decode(reply); err != nil {
		return 0, errors.Wrap(err, "platform's reply")
	}
	return resp.StatusCode, nil
}
