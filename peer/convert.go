package peer

import (
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer/peerv1"
)

// The numbers of kinds and states are those of package membership.

func encodeMessage(m membership.Message) *peerv1.MemberMessage {
	out := &peerv1.MemberMessage{
		Kind:   peerv1.MessageKind(m.Kind),
		Seq:    m.Seq,
		From:   encodeMember(m.From),
		Target: string(m.Target),
		Digest: m.Digest,
		More:   m.More,
	}
	for _, u := range m.Updates {
		out.Updates = append(out.Updates, encodeMember(u))
	}
	return out
}

func encodeMember(m membership.Member) *peerv1.Member {
	return &peerv1.Member{
		Id:          string(m.ID),
		Incarnation: uint64(m.Incarnation),
		Version:     m.Version,
		State:       peerv1.MemberState(m.State),
		Addr:        m.Addr,
		Zone:        string(m.Zone),
		Offset:      m.Offset,
		Ready:       m.Ready,
	}
}

// decodeMessage converts what arrived; absent parts become zero values, which
// the message's Check refuses.
func decodeMessage(m *peerv1.MemberMessage) membership.Message {
	out := membership.Message{
		Kind:   membership.Kind(clampUint8(int32(m.GetKind()))),
		Seq:    m.GetSeq(),
		From:   decodeMember(m.GetFrom()),
		Target: fleet.InstanceID(m.GetTarget()),
		Digest: m.GetDigest(),
		More:   m.GetMore(),
	}
	for _, u := range m.GetUpdates() {
		out.Updates = append(out.Updates, decodeMember(u))
	}
	return out
}

func decodeMember(m *peerv1.Member) membership.Member {
	return membership.Member{
		ID:          fleet.InstanceID(m.GetId()),
		Incarnation: fleet.Incarnation(m.GetIncarnation()),
		Version:     m.GetVersion(),
		State:       membership.State(clampUint8(int32(m.GetState()))),
		Addr:        m.GetAddr(),
		Zone:        fleet.Zone(m.GetZone()),
		Offset:      m.GetOffset(),
		Ready:       m.GetReady(),
	}
}

// clampUint8 maps numbers that no kind or state has to zero.
func clampUint8(n int32) uint8 {
	if n < 0 || n > 255 {
		return 0
	}
	return uint8(n)
}
