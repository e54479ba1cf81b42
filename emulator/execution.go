package emulator

import (
	"context"
	"net/http"
	"time"

	"github.com/clementinereel/clementinereel/header"
)

// execution is one request on its way through a target.
type execution struct {
	e   *Emulator
	p   plan
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context
	key string
	// body is read before or after the slot is taken, by its size.
	body body
	read bool
}

func (x *execution) serve() {
	if x.small() && !x.readBody() {
		return
	}
	if x.p.fault == faultHang && !x.p.HangHoldsSlot {
		x.hang()
		return
	}
	if !x.e.slots.acquire(x.ctx) {
		x.refuseOrLeave()
		return
	}
	defer x.e.slots.release()
	if !x.read && !x.readBody() {
		return
	}
	x.run()
}

func (x *execution) small() bool {
	return x.r.ContentLength >= 0 && x.r.ContentLength <= readFirst
}

// readBody takes the body in. It reports false if it did not come whole.
func (x *execution) readBody() bool {
	b, err := readBody(x.r.Body)
	if err != nil {
		x.canceled()
		http.Error(x.w, "body incomplete", http.StatusBadRequest)
		return false
	}
	x.body, x.read = b, true
	return true
}

// refuseOrLeave answers a request that got no slot.
func (x *execution) refuseOrLeave() {
	if x.r.Context().Err() != nil {
		x.canceled()
		return
	}
	x.e.refuse(x.w, header.NotRunShed)
}

// run executes the work and answers.
func (x *execution) run() {
	if x.p.Die == DieBefore {
		x.e.die(x.w)
		return
	}
	if x.p.fault == faultHang {
		x.hang()
		return
	}
	x.e.records.started(x.key, time.Now())
	if x.p.Die == DieDuring {
		x.e.die(x.w)
		return
	}
	if !x.sleep(x.p.time) {
		x.canceled()
		http.Error(x.w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	x.e.records.completed(x.key)
	x.answer()
}

// answer sends the answer, or what the behavior makes of it.
func (x *execution) answer() {
	a := newAnswer(x.e.opts, x.r, x.body)
	switch x.p.Die {
	case DieAfter:
		x.e.die(x.w)
		return
	case DieAnswer:
		defer x.e.die(nil)
		writeCut(x.w, a, x.p.TruncateChunked)
	}
	if x.p.fault != noFault {
		x.count(x.p.fault)
	}
	switch x.p.fault {
	case faultError:
		http.Error(x.w, "internal error", http.StatusInternalServerError)
	case faultReset:
		reset(x.w)
	case faultTruncate:
		writeCut(x.w, a, x.p.TruncateChunked)
	default:
		writeAnswer(x.w, a)
	}
}

// hang waits for the caller to give up; it answers nothing.
func (x *execution) hang() {
	x.count(faultHang)
	if !x.read && !x.readBody() {
		return
	}
	if x.p.HangRuns {
		x.e.records.started(x.key, time.Now())
		x.e.records.completed(x.key)
	}
	<-x.r.Context().Done()
	x.canceled()
	panic(http.ErrAbortHandler)
}

// sleep waits for the service time. It reports false if the caller left or
// the deadline passed first.
func (x *execution) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

func (x *execution) canceled() {
	x.e.records.update(func(s *Stats) { s.Canceled++ })
}

func (x *execution) count(f fault) {
	x.e.records.update(func(s *Stats) { s.Sick[string(f)]++ })
}
