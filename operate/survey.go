package operate

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer/peerv1"
)

const (
	// surveyTimeout bounds one query of a survey.
	surveyTimeout = 300 * time.Millisecond
	// surveyRounds bounds the rounds in which newly reported processes are
	// queried.
	surveyRounds = 3
	// surveyFanout bounds the concurrent queries.
	surveyFanout = 64
	// surveyBatch bounds the keys of one query.
	surveyBatch = 256
)

// surveyQuery is a key that waits for the next survey.
type surveyQuery struct {
	key    operation.Key
	claim  claim.ID
	answer chan surveyResult
}

// surveyResult is a survey's finding with the time until which it may be
// reported.
type surveyResult struct {
	claim.Finding
	until time.Time
}

// survey determines whether a key that could not be claimed was certainly not
// run, and returns the answer with the time until which it may be reported. The
// attempt was abandoned; it is nil if the table was full.
func (s *Service) survey(ctx context.Context, req *Request, a *claim.Attempt) (operation.Answer, time.Time) {
	q := &surveyQuery{key: req.opKey(), answer: make(chan surveyResult, 1)}
	if a != nil {
		q.claim = a.ID
	}
	if !s.enqueue(q) {
		s.stats.surveys("busy")
		return undecided(req, "too many operations are undecided"), time.Time{}
	}
	var f surveyResult
	select {
	case f = <-q.answer:
	case <-ctx.Done():
		return undecided(req, "the deadline passed"), time.Time{}
	}
	switch {
	case f.NotRun && f.Fenced:
		s.stats.surveys("fenced")
		return notRun(req, "the claim was given up before anything was sent"), time.Time{}
	case f.NotRun:
		s.stats.surveys("not-run")
		return notRun(req, "the log is out of reach and no instance holds the key"), f.until
	case f.Op.State.Final():
		s.stats.surveys("found")
		return s.replay(ctx, req, f.Op), time.Time{}
	}
	s.stats.surveys("doubt")
	klog.V(1).InfoS("operation undecided", "customer", req.Customer, "key", req.Key, "doubt", f.Doubt)
	return undecided(req, f.Doubt), time.Time{}
}

// enqueue adds a key to the next batch. It returns false if too many keys wait
// or the fleet is too large for surveys.
func (s *Service) enqueue(q *surveyQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.surveyQueue) >= s.cfg.MaxSurveys || len(s.members) > s.cfg.MaxSurveyed {
		return false
	}
	s.surveyQueue = append(s.surveyQueue, q)
	if !s.surveying {
		s.surveying = true
		s.spawn(s.surveyLoop)
	}
	return true
}

// surveyLoop surveys batches of keys until the queue is empty.
func (s *Service) surveyLoop(ctx context.Context) {
	for {
		s.mu.Lock()
		n := min(len(s.surveyQueue), surveyBatch)
		batch := s.surveyQueue[:n]
		s.surveyQueue = slices.Clone(s.surveyQueue[n:])
		s.surveying = n > 0
		s.mu.Unlock()
		if n == 0 {
			return
		}
		s.surveyKeys(ctx, batch)
	}
}

// surveyKeys queries all instances for a batch of keys.
func (s *Service) surveyKeys(ctx context.Context, batch []*surveyQuery) {
	began := s.now()
	keys := make([]operation.Key, len(batch))
	surveys := make([]*claim.Survey, len(batch))
	s.mu.Lock()
	reportTimeout := s.table.Config().NotRunTimeout
	for i, q := range batch {
		keys[i] = q.key
		surveys[i] = claim.NewSurvey(began, q.claim, s.history)
	}
	s.mu.Unlock()
	addAll(surveys, s.answerSurvey(keys))
	for range surveyRounds {
		if ask := askNext(surveys); len(ask) > 0 {
			s.askAll(ctx, surveys, ask, keys)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range batch {
		q.answer <- surveyResult{Finding: surveys[i].Result(s.now(), reportTimeout), until: began.Add(reportTimeout)}
	}
}

// askNext returns the processes that a survey of the batch has yet to query.
func askNext(surveys []*claim.Survey) []fleet.Holder {
	seen := map[fleet.Holder]bool{}
	var list []fleet.Holder
	for _, sv := range surveys {
		for _, m := range sv.Unanswered() {
			if !seen[m] {
				seen[m] = true
				list = append(list, m)
			}
		}
	}
	return list
}

// addAll adds a process's answers, one to each survey.
func addAll(surveys []*claim.Survey, answers []claim.SurveyAnswer) {
	for i, a := range answers {
		surveys[i].Add(a)
	}
}

// askAll queries processes concurrently and adds their answers.
func (s *Service) askAll(ctx context.Context, surveys []*claim.Survey, ask []fleet.Holder, keys []operation.Key) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		sem = make(chan struct{}, surveyFanout)
	)
	for _, m := range ask {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			answers, err := s.askSurvey(ctx, m, keys)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			addAll(surveys, answers)
		})
	}
	wg.Wait()
}

// askSurvey queries one process for keys. An answer from another incarnation
// counts only for that incarnation.
func (s *Service) askSurvey(ctx context.Context, m fleet.Holder, keys []operation.Key) ([]claim.SurveyAnswer, error) {
	if m == s.cfg.Self {
		return s.answerSurvey(keys), nil
	}
	req := &peerv1.SurveyRequest{From: claim.HolderProto(s.cfg.Self)}
	for _, k := range keys {
		req.Keys = append(req.Keys, &peerv1.OperationKey{Customer: string(k.Customer), Key: k.Name})
	}
	resp, err := s.peer(m.Instance).Survey(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "survey of %s", m)
	}
	if len(resp.Msg.GetAnswers()) != len(keys) {
		return nil, errors.Errorf("survey of %s: %d answers to %d keys", m, len(resp.Msg.GetAnswers()), len(keys))
	}
	return surveyOf(resp.Msg), nil
}

// answerSurvey returns the answers of this instance, as holder and as recorder.
func (s *Service) answerSurvey(keys []operation.Key) []claim.SurveyAnswer {
	answers := make([]claim.SurveyAnswer, len(keys))
	parts := make([]*partition, len(keys))
	s.mu.Lock()
	now := s.now()
	view, watched := s.history.All(), s.history.Watched(now)
	for i, key := range keys {
		p := key.Partition(s.cfg.Partitions)
		parts[i] = s.partitions[p]
		answers[i] = claim.SurveyAnswer{
			From: s.cfg.Self, Live: s.table.Survey(now, key), View: view, Watched: watched, End: s.ends[p],
		}
	}
	s.mu.Unlock()
	for i, key := range keys {
		if parts[i] != nil {
			parts[i].answer(&answers[i], key)
		}
	}
	return answers
}

// sendGreeting announces this process to another one.
func (s *Service) sendGreeting(ctx context.Context, m fleet.Holder) error {
	resp, err := s.peer(m.Instance).Survey(ctx, connect.NewRequest(&peerv1.SurveyRequest{
		From: claim.HolderProto(s.cfg.Self), Greeting: true,
	}))
	if err != nil {
		return errors.Wrapf(err, "greeting %s", m)
	}
	s.recordGreeting(claim.HolderOf(resp.Msg.GetSelf()))
	return nil
}

// recordGreeting records a process that announced itself.
func (s *Service) recordGreeting(m fleet.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Seen(m)
}

func surveyOf(m *peerv1.SurveyResponse) []claim.SurveyAnswer {
	from, view := claim.HolderOf(m.GetSelf()), holdersOf(m.GetView())
	answers := make([]claim.SurveyAnswer, 0, len(m.GetAnswers()))
	for _, k := range m.GetAnswers() {
		answers = append(answers, claim.SurveyAnswer{
			From: from, View: view, Watched: time.Duration(m.GetWatchedNanos()),
			Live: k.GetLive(), Claimants: holdersOf(k.GetClaimants()), End: offset(k.GetEnd()),
			Covered: k.GetCovered(), Age: time.Duration(k.GetAgeNanos()), Next: offset(k.GetNext()),
			Op: claim.OpOf(k.GetState()),
		})
	}
	return answers
}

func surveyProto(self fleet.Holder, answers []claim.SurveyAnswer) *peerv1.SurveyResponse {
	m := &peerv1.SurveyResponse{Self: claim.HolderProto(self)}
	for i := range answers {
		a := &answers[i]
		if i == 0 {
			m.View = holderProtos(a.View)
			m.WatchedNanos = int64(a.Watched)
		}
		m.Answers = append(m.Answers, &peerv1.KeyAnswer{
			Live: a.Live, Claimants: holderProtos(a.Claimants), End: int64(a.End), Covered: a.Covered,
			AgeNanos: int64(a.Age), Next: int64(a.Next), State: claim.OpProto(&a.Op),
		})
	}
	return m
}

func holdersOf(list []*peerv1.OperationHolder) []fleet.Holder {
	out := make([]fleet.Holder, 0, len(list))
	for _, h := range list {
		out = append(out, claim.HolderOf(h))
	}
	return out
}

func holderProtos(list []fleet.Holder) []*peerv1.OperationHolder {
	out := make([]*peerv1.OperationHolder, 0, len(list))
	for _, h := range list {
		out = append(out, claim.HolderProto(h))
	}
	return out
}
