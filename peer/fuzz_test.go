package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer/peerv1"
)

// FuzzExchange feeds bytes as a peer may send them: no panic, and the own
// record stays.
func FuzzExchange(f *testing.F) {
	self := membership.Member{ID: "self", Incarnation: 9, Addr: "127.0.0.1:1"}
	other := membership.Member{
		ID: "other", Incarnation: 1, Version: 1, State: membership.Alive, Addr: "127.0.0.1:2",
	}
	for kind := membership.Ping; kind <= membership.SyncPush; kind++ {
		m := membership.Message{
			Kind: kind, Seq: 1, From: other, Target: "self",
			Updates: []membership.Member{other}, Digest: make([]uint64, 64),
		}
		b, err := proto.Marshal(encodeMessage(m))
		assert.NilError(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m peerv1.MemberMessage
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		now := time.Unix(1000, 0)
		node := membership.New(self, membership.Settings{}, rand.New(rand.NewPCG(1, 1)))
		for range 20 {
			_, _ = node.Receive(now, decodeMessage(&m))
			node.Tick(now)
			now = now.Add(time.Second)
		}
		got, ok := node.View().Get("self")
		assert.Assert(t, ok)
		assert.Equal(t, got.Incarnation, self.Incarnation)
		assert.Assert(t, got.Version > 0)
	})
}
