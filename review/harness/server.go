package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/platform/standin"
)

// heartbeatInterval is how often a server renews its entry.
const heartbeatInterval = 1500 * time.Millisecond

// Server is a stand-in of a server (upstream) that speaks HTTP/1.1 on plain connections.
type Server struct {
	ID, Service, Zone string
	// Slots requests run at the same time, Queue more wait.
	Slots, Queue int
	// Work returns how long a request takes.
	Work func() time.Duration
	// Shed reports whether a request is rejected without being run, as by a server that sheds load.
	Shed func() bool
	// ExtraLate reports whether an answer is sent a second time, late: where the next answer on its connection is
	// expected.
	ExtraLate func() bool
	// Spoil, if set, returns what is sent in place of an answer.
	Spoil func(answer []byte) []byte
	// Body, if set, is the body of the answers of requests that run.
	Body []byte

	d        *Deployment
	listener net.Listener
	slots    chan struct{}
	ended    chan struct{}

	mu       sync.Mutex
	admitted int
	sequence int
	runs     map[string]int
}

// AddServer starts a server and registers it in the store.
func (d *Deployment) AddServer(s *Server) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.d, s.listener, s.slots, s.ended, s.runs = d, ln, make(chan struct{}, s.Slots), make(chan struct{}), make(map[string]int)
	go s.accept()
	s.register()
	go func() {
		for {
			select {
			case <-s.ended:
				return
			case <-time.After(heartbeatInterval):
				s.register()
			}
		}
	}()
	return nil
}

func (s *Server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"address": s.listener.Addr().String(),
		"info":    map[string]any{"service": s.Service, "zone": s.Zone, "version": "v1", "max_concurrency": s.Slots},
		"status":  map[string]any{"state": "ready", "sequence": s.sequence, "warmup_left_ms": 0},
	}
	s.mu.Unlock()
	data, _ := json.Marshal(entry) // strings and numbers can be encoded
	s.d.Store.Put(standin.TopicTargets, s.ID, data)
}

// Runs returns how often each request has run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		all[id] = n
	}
	return all
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var late []byte // the extra answer
	lastID := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, err = io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if id == lastID {
			s.d.Record.Write("server %s gets %s once more on the same connection", s.ID, id)
		}
		lastID = id
		if late != nil {
			s.d.Record.Write("server %s sends the extra answer to an earlier request, now that the next request, %s, has come on its connection", s.ID, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := s.answer(id, req)
		if s.Spoil != nil {
			answer = s.Spoil(answer)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if bytes.HasSuffix(answer, []byte("\r\n\r\n")) { // a head without its body
			if _, err := c.Write(s.Body); err != nil {
				return
			}
		}
		if s.ExtraLate() {
			late = answer
		}
	}
}

// answer handles the request and returns the response.
func (s *Server) answer(id string, req *http.Request) []byte {
	if req.Header.Get("X-Expected-Instance") != s.ID {
		return response(http.StatusMisdirectedRequest, id, "")
	}
	if s.Shed() || !s.enter() {
		s.d.Record.Write("server %s rejects %s with 503 and X-Not-Executed", s.ID, id)
		return response(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n")
	}
	defer s.leave()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.d.Record.Write("server %s runs %s %s (here %d times)", s.ID, req.Method, id, n)
	time.Sleep(s.Work())
	seal := fmt.Sprintf("X-Server-Seal: seal.%s.%s\r\n", s.ID, id)
	if s.Body != nil {
		return responseHead(http.StatusOK, id, seal, len(s.Body)) // the body follows
	}
	return response(http.StatusOK, id, seal)
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitted >= s.Slots+s.Queue {
		return false
	}
	s.admitted++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

func response(status int, id, fields string) []byte {
	body := "answer to " + id
	return append(responseHead(status, id, fields, len(body)), body...)
}

func responseHead(status int, id, fields string, length int) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	b.WriteString("X-Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n" + fields)
	b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n\r\n")
	return b.Bytes()
}

// Chance returns a function that is true with the given probability while on returns true.
func Chance(p float64, on func() bool) func() bool {
	return func() bool { return on() && rand.Float64() < p }
}
