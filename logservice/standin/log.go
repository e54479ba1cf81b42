package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/logservice"
)

// maxBatch bounds the records of one read.
const maxBatch = 10_000

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxRecord))
	if err != nil {
		http.Error(w, "record too large or broken off", http.StatusRequestEntityTooLarge)
		return
	}
	if s.appendLate(r.PathValue("stream"), data) {
		panic(http.ErrAbortHandler)
	}
	offset, ok, lose := s.append(r.PathValue("stream"), data)
	if !ok {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, logservice.AppendReply{Offset: offset})
}

// append adds a record unless the rate limit refuses it. Lose tells that the
// reply must get lost.
func (s *Server) append(name string, data []byte) (offset logservice.Offset, ok, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	if !s.bucket.take(now) {
		return 0, false, false
	}
	st := s.stream(name)
	offset = st.next()
	st.add(offset, now, data)
	return offset, true, s.faults.loseReply()
}

// appendLate lets an append take effect later if a fault says so.
func (s *Server) appendLate(name string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.late() {
		return false
	}
	time.AfterFunc(s.faults.LateBy.D(), func() { s.Append(name, data) })
	return true
}

func (s *stream) add(offset logservice.Offset, now time.Time, data []byte) {
	s.records = append(s.records, logservice.WireRecord{Offset: offset, Time: now.UTC(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
}

// Append adds a record, past the rate limit and all faults.
func (s *Server) Append(name string, data []byte) logservice.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.next()
	st.add(offset, s.opts.Now(), data)
	return offset
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	waitMS, err3 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || from < 0 || limit < 1 || waitMS < 0 {
		http.Error(w, "want from >= 0, limit >= 1, wait_ms >= 0", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, DefaultMaxWait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		reply, expired, grown := s.read(r.PathValue("stream"), logservice.Offset(from), min(limit, maxBatch))
		if expired {
			writeJSON(w, http.StatusGone, reply)
			return
		}
		if len(reply.Records) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		f, changed := s.currentFaults()
		if f.Outage != Up {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-grown:
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) read(name string, from logservice.Offset, limit int) (reply logservice.ReadReply, expired bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.expire(s.faults, s.opts.Now())
	reply = logservice.ReadReply{First: st.first, Next: st.next(), Records: []logservice.WireRecord{}}
	if from < st.first {
		return reply, true, nil
	}
	if from < reply.Next {
		rest := st.records[from-st.first:]
		reply.Records = append(reply.Records, rest[:min(limit, len(rest))]...)
	}
	return reply, false, st.grown
}

// expire forgets the records that the retention does not cover.
func (s *stream) expire(f Faults, now time.Time) {
	n := 0
	if f.KeepRecords > 0 {
		n = max(n, len(s.records)-f.KeepRecords)
	}
	if keep := f.KeepFor.D(); keep > 0 {
		for n < len(s.records) && now.Sub(s.records[n].Time) > keep {
			n++
		}
	}
	s.records = s.records[n:]
	s.first += logservice.Offset(n)
}

// Expire forgets the oldest records of a stream up to an offset.
func (s *Server) Expire(name string, before logservice.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	n := min(max(before-st.first, 0), logservice.Offset(len(st.records)))
	st.records = st.records[n:]
	st.first += n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
