package operate

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/ticket"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// ReceiptStream is the log stream with receipts of ticketed operations.
	ReceiptStream = "ticket-receipts"
	// Receipts are appended at an interval of at least receiptInterval and
	// receiptIntervalPerMember times the number of members: all instances share
	// the log's append rate, of which receipts use at most 100 a second.
	receiptInterval          = 500 * time.Millisecond
	receiptIntervalPerMember = 10 * time.Millisecond
	// maxReceipts bounds the queued receipts; the oldest are dropped.
	maxReceipts = 5000
)

// Receipt is a record of a ticketed operation for operators. Receipts are
// written on a best-effort basis: a missing one proves nothing.
type Receipt struct {
	Ticket   string           `json:"ticket"`
	Customer fleet.CustomerID `json:"customer"`
	Route    string           `json:"route"`
	State    string           `json:"state"`
	Digest   operation.Digest `json:"digest"`
	Target   fleet.TargetID   `json:"target,omitempty"`
	Request  string           `json:"request_id"`
	Home     fleet.Holder     `json:"home"`
	At       time.Time        `json:"at"`
}

// receipts batches receipts into appends.
type receipts struct {
	s        *Service
	mu       sync.Mutex
	list     []Receipt
	flushing bool
}

func newReceipts(s *Service) *receipts { return &receipts{s: s} }

// add queues a receipt.
func (r *receipts) add(id ticket.ID, req *Request, state operation.State, target fleet.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) >= maxReceipts {
		r.list = r.list[1:]
	}
	r.list = append(r.list, Receipt{
		Ticket: id.String(), Customer: req.Customer, Route: req.Route, State: state.String(),
		Digest: req.digest(), Target: target, Request: req.ID, Home: id.Home, At: r.s.now(),
	})
	if !r.flushing {
		r.flushing = true
		r.s.spawn(r.flush)
	}
}

// flush appends queued receipts until the queue is empty.
func (r *receipts) flush(ctx context.Context) {
	for wait.For(ctx, r.pause()) {
		if !r.flushOnce(ctx) {
			return
		}
	}
}

func (r *receipts) pause() time.Duration {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return max(receiptInterval, time.Duration(len(r.s.members))*receiptIntervalPerMember)
}

// flushOnce appends the queued receipts. If there are none, it marks flush as
// ended and returns false.
func (r *receipts) flushOnce(ctx context.Context) bool {
	r.mu.Lock()
	list := r.list
	r.list = nil
	if len(list) == 0 {
		r.flushing = false
		r.mu.Unlock()
		return false
	}
	r.mu.Unlock()
	if err := r.append(ctx, list); err != nil {
		r.putBack(list)
	}
	return true
}

func (r *receipts) append(ctx context.Context, list []Receipt) error {
	data, err := json.Marshal(list)
	if err != nil {
		panic("operate: " + err.Error())
	}
	_, err = r.s.cfg.Log.Append(ctx, ReceiptStream, data)
	return err
}

func (r *receipts) putBack(list []Receipt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list = append(list, r.list...)
	if over := len(list) - maxReceipts; over > 0 {
		list = list[over:]
	}
	r.list = list
}
