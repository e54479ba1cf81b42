package claim

import (
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer/peerv1"
)

// Encode returns the encoded record that holds the entries.
func Encode(entries []Entry) []byte {
	rec := &peerv1.ClaimRecord{}
	for i := range entries {
		rec.Entries = append(rec.Entries, EntryProto(&entries[i]))
	}
	return marshal(rec)
}

// EncodePart returns the encoded record that holds a checkpoint part.
func EncodePart(p *Part) []byte {
	pp := &peerv1.CheckpointPart{
		Upto: int64(p.Upto), TimeUnixNanos: nanos(p.Time),
		Part: int32(p.Index), Parts: int32(p.Count), Maker: p.Maker,
		Operator: p.Operator, Reason: p.Reason,
	}
	for i := range p.Ops {
		pp.Ops = append(pp.Ops, OpProto(&p.Ops[i]))
	}
	return marshal(&peerv1.ClaimRecord{Checkpoint: pp})
}

// Decode decodes one record of a partition's stream.
func Decode(r logservice.Record) (Record, error) {
	out := Record{Offset: r.Offset, Time: r.Time}
	rec := &peerv1.ClaimRecord{}
	if err := proto.Unmarshal(r.Data, rec); err != nil {
		return out, errors.Wrapf(err, "record %d", r.Offset)
	}
	for _, e := range rec.GetEntries() {
		out.Entries = append(out.Entries, EntryOf(e))
	}
	if p := rec.GetCheckpoint(); p != nil {
		out.Checkpoint = partOf(p)
	}
	return out, nil
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic("claim: " + err.Error())
	}
	return b
}

func partOf(p *peerv1.CheckpointPart) *Part {
	part := &Part{
		Upto: logservice.Offset(p.GetUpto()), Time: timeOf(p.GetTimeUnixNanos()),
		Index: int(p.GetPart()), Count: int(p.GetParts()), Maker: p.GetMaker(),
		Operator: p.GetOperator(), Reason: p.GetReason(),
	}
	for _, op := range p.GetOps() {
		part.Ops = append(part.Ops, OpOf(op))
	}
	return part
}

// HolderProto converts a holder to its protobuf message.
func HolderProto(h fleet.Holder) *peerv1.OperationHolder {
	return &peerv1.OperationHolder{Instance: string(h.Instance), Incarnation: int64(h.Incarnation)}
}

// HolderOf converts a protobuf message to a holder.
func HolderOf(h *peerv1.OperationHolder) fleet.Holder {
	return fleet.Holder{
		Instance:    fleet.InstanceID(h.GetInstance()),
		Incarnation: fleet.Incarnation(h.GetIncarnation()),
	}
}

// EntryProto converts an entry to its protobuf message.
func EntryProto(e *Entry) *peerv1.ClaimEntry {
	return &peerv1.ClaimEntry{
		Kind: uint32(e.Kind), Customer: string(e.Key.Customer), Key: e.Key.Name,
		Holder: HolderProto(e.Claim.Holder), Seq: e.Claim.Seq,
		Digest: string(e.Digest), Base: int64(e.Base), WindowNanos: int64(e.Window),
		Service: string(e.Service), Route: e.Route, Target: string(e.Target),
		Answer: AnswerProto(e.Answer), Presumed: e.Presumed,
		Operator: e.Operator, Reason: e.Reason,
	}
}

// EntryOf converts a protobuf message to an entry.
func EntryOf(p *peerv1.ClaimEntry) Entry {
	return Entry{
		Kind:  Kind(p.GetKind()),
		Key:   operation.Key{Customer: fleet.CustomerID(p.GetCustomer()), Name: p.GetKey()},
		Claim: ID{Holder: HolderOf(p.GetHolder()), Seq: p.GetSeq()}, Digest: operation.Digest(p.GetDigest()),
		Base: logservice.Offset(p.GetBase()), Window: time.Duration(p.GetWindowNanos()),
		Service: fleet.ServiceID(p.GetService()), Route: p.GetRoute(), Target: fleet.TargetID(p.GetTarget()),
		Answer: AnswerOf(p.GetAnswer()), Presumed: p.GetPresumed(),
		Operator: p.GetOperator(), Reason: p.GetReason(),
	}
}

// OpProto converts an operation to its protobuf message.
func OpProto(op *Op) *peerv1.ClaimState {
	return &peerv1.ClaimState{
		Claim: EntryProto(&op.Entry), State: uint32(op.State),
		ClaimedUnixNanos: nanos(op.Claimed), DecidedUnixNanos: nanos(op.Decided),
		Withdrawn: int64(op.Withdrawn), Contradicted: op.Contradicted,
	}
}

// OpOf converts a protobuf message to an operation.
func OpOf(p *peerv1.ClaimState) Op {
	return Op{
		Entry: EntryOf(p.GetClaim()), State: operation.State(p.GetState()),
		Claimed: timeOf(p.GetClaimedUnixNanos()), Decided: timeOf(p.GetDecidedUnixNanos()),
		Withdrawn: logservice.Offset(p.GetWithdrawn()), Contradicted: p.GetContradicted(),
	}
}

// AnswerProto converts a response to its protobuf message; nil stays nil.
func AnswerProto(a *operation.Answer) *peerv1.OperationAnswer {
	if a == nil {
		return nil
	}
	return &peerv1.OperationAnswer{
		Status: int32(a.Status), Header: HeaderProto(a.Header), Body: a.Body,
		Outcome: uint32(a.Outcome), RetryAfterNanos: int64(a.RetryAfter),
		Next: string(a.Next), Replayed: a.Replayed,
	}
}

// AnswerOf converts a protobuf message to a response; nil stays nil.
func AnswerOf(p *peerv1.OperationAnswer) *operation.Answer {
	if p == nil {
		return nil
	}
	return &operation.Answer{
		Status: int(p.GetStatus()), Header: HeaderOf(p.GetHeader()), Body: p.GetBody(),
		Outcome: fleet.Outcome(p.GetOutcome()), RetryAfter: time.Duration(p.GetRetryAfterNanos()),
		Next: operation.NextStep(p.GetNext()), Replayed: p.GetReplayed(),
	}
}

// HeaderProto converts a header to protobuf messages, sorted by name.
func HeaderProto(h http.Header) []*peerv1.HeaderField {
	var fields []*peerv1.HeaderField
	for name, values := range h {
		fields = append(fields, &peerv1.HeaderField{Name: name, Values: values})
	}
	sort.Slice(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

// HeaderOf converts protobuf messages to a header.
func HeaderOf(fields []*peerv1.HeaderField) http.Header {
	h := http.Header{}
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

// nanos returns t as Unix nanoseconds, and 0 for the zero time.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeOf(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
