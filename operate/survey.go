package operate

import (
	"context"
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
	// surveyCall bounds one question of a survey.
	surveyCall = 300 * time.Millisecond
	// surveyRounds bounds how often newly named processes are asked.
	surveyRounds = 3
	// surveyFanout bounds the questions of one survey that run at once.
	surveyFanout = 64
)

// survey finds out whether not run is true of a key that could not be claimed,
// and returns the answer with the time until which it may be told. The attempt
// has been abandoned; it is nil if there was no room for one.
func (s *Service) survey(ctx context.Context, req *Request, a *claim.Attempt) (operation.Answer, time.Time) {
	select {
	case s.surveys <- struct{}{}:
		defer func() { <-s.surveys }()
	default:
		s.stats.surveys("busy")
		return undecided(req, "too many operations are undecided"), time.Time{}
	}
	f, until := s.find(ctx, req.opKey(), a)
	switch {
	case f.NotRun && f.Fenced:
		s.stats.surveys("fenced")
		return notRun(req, "the claim was given up before anything was sent"), time.Time{}
	case f.NotRun:
		s.stats.surveys("not-run")
		return notRun(req, "the log is out of reach and no instance holds the key"), until
	case f.Op.State.Final():
		s.stats.surveys("found")
		return s.replay(ctx, req, f.Op), time.Time{}
	}
	s.stats.surveys("doubt")
	klog.V(1).InfoS("operation undecided", "customer", req.Customer, "key", req.Key, "doubt", f.Doubt)
	return undecided(req, f.Doubt), time.Time{}
}

// find asks all instances for the key.
func (s *Service) find(ctx context.Context, key operation.Key, a *claim.Attempt) (claim.Finding, time.Time) {
	began := s.now()
	s.mu.Lock()
	tell := s.table.Config().TellWithin
	var id claim.ID
	if a != nil {
		id = a.ID
	}
	sv := claim.NewSurvey(began, id, s.history)
	s.mu.Unlock()
	sv.Add(s.answerSurvey(key))
	for range surveyRounds {
		ask := sv.Ask()
		if len(ask) == 0 {
			break
		}
		s.askAll(ctx, sv, ask, key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return sv.Find(s.now(), tell), began.Add(tell)
}

// askAll puts the question to processes at once and adds their answers.
func (s *Service) askAll(ctx context.Context, sv *claim.Survey, ask []fleet.Holder, key operation.Key) {
	ctx, cancel := context.WithTimeout(ctx, surveyCall)
	defer cancel()
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		sem = make(chan struct{}, surveyFanout)
	)
	for _, m := range ask {
		wg.Add(1)
		sem <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-sem }()
			a, err := s.askSurvey(ctx, m, key, false)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sv.Add(a)
		}()
	}
	wg.Wait()
}

// askSurvey asks one process. An answer of another incarnation counts for that
// one alone.
func (s *Service) askSurvey(ctx context.Context, m fleet.Holder, key operation.Key, greeting bool) (claim.SurveyAnswer, error) {
	if m == s.cfg.Self {
		return s.answerSurvey(key), nil
	}
	resp, err := s.peer(m.Instance).Survey(ctx, connect.NewRequest(&peerv1.SurveyRequest{
		From: claim.HolderProto(s.cfg.Self), Customer: string(key.Customer), Key: key.Name, Greeting: greeting,
	}))
	if err != nil {
		return claim.SurveyAnswer{}, errors.Wrapf(err, "survey of %s", m)
	}
	return surveyOf(resp.Msg), nil
}

// answerSurvey answers for this instance, as holder and as recorder.
func (s *Service) answerSurvey(key operation.Key) claim.SurveyAnswer {
	p := key.Partition(s.cfg.Partitions)
	s.mu.Lock()
	now := s.now()
	a := claim.SurveyAnswer{
		From: s.cfg.Self, Live: s.table.Survey(now, key), View: s.history.All(),
		Watched: s.history.Watched(now), End: s.ends[p],
	}
	part := s.partitions[p]
	s.mu.Unlock()
	if part != nil {
		part.answer(&a, key)
	}
	return a
}

// greeted answers a process that makes itself known.
func (s *Service) greeted(from fleet.Holder) claim.SurveyAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Met(from)
	return claim.SurveyAnswer{From: s.cfg.Self}
}

func surveyOf(m *peerv1.SurveyResponse) claim.SurveyAnswer {
	a := claim.SurveyAnswer{
		From: claim.HolderOf(m.GetSelf()), Live: m.GetLive(),
		Watched: time.Duration(m.GetWatchedNanos()), End: offset(m.GetEnd()),
		Covered: m.GetCovered(), Age: time.Duration(m.GetAgeNanos()), Next: offset(m.GetNext()),
		Op: claim.OpOf(m.GetState()),
	}
	for _, h := range m.GetView() {
		a.View = append(a.View, claim.HolderOf(h))
	}
	for _, h := range m.GetClaimants() {
		a.Claimants = append(a.Claimants, claim.HolderOf(h))
	}
	return a
}

func surveyProto(a claim.SurveyAnswer) *peerv1.SurveyResponse {
	m := &peerv1.SurveyResponse{
		Self: claim.HolderProto(a.From), Live: a.Live, WatchedNanos: int64(a.Watched),
		End: int64(a.End), Covered: a.Covered, AgeNanos: int64(a.Age), Next: int64(a.Next),
		State: claim.OpProto(&a.Op),
	}
	for _, h := range a.View {
		m.View = append(m.View, claim.HolderProto(h))
	}
	for _, h := range a.Claimants {
		m.Claimants = append(m.Claimants, claim.HolderProto(h))
	}
	return m
}
