package claim

import "github.com/clementinereel/clementinereel/logservice"

func (n *node) appendNext() {
	batch, entries := n.rec.Next(n.m.now)
	if len(entries) > 0 {
		n.m.append(n, batch, Record{Entries: entries})
	}
}

// readLog reads up to limit records and sends the resulting replies.
func (n *node) readLog(limit int) {
	m := n.m
	if m.logDown {
		return
	}
	began := m.now
	if int(n.rec.End()) < m.first {
		n.rec.Restart(NewFold(logservice.Offset(m.first)), m.now)
		n.read = false
	}
	for ; limit > 0 && int(n.rec.End()) < len(m.log); limit-- {
		n.rec.Read(m.now, m.log[n.rec.End()])
	}
	if int(n.rec.End()) == len(m.log) {
		n.read = true
		n.readAt = began
	}
	for _, rep := range n.rec.Replies() {
		if done, ok := n.dones[rep.Waiter]; ok {
			delete(n.dones, rep.Waiter)
			done(rep)
		}
	}
}

func (n *node) checkpoint() {
	if n.m.logDown {
		return
	}
	for _, p := range n.rec.Fold().Checkpoint(n.self.String(), 1500) {
		n.m.land(Record{Checkpoint: &p})
	}
}

// presume submits presumed unknown outcomes for live claims of ended holders,
// or of any holder if wrongly is set.
func (n *node) presume(wrongly bool) {
	for _, op := range n.rec.Fold().Live() {
		if !wrongly && !n.hist.Superseded(n.m.now, op.Claim.Holder) {
			continue
		}
		e := op.Entry
		e.Kind = Lose
		e.Presumed = true
		if n.m.rules.leaseOnly {
			e.Kind = Withdraw
		}
		if _, ok := n.rec.Submit(n.m.now, e); ok {
			n.m.step++
		}
	}
}
