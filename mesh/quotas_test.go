package mesh

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/quota"
)

// TestQuotaRanksBesideEarlierVersions checks that questions with a rank are understood by versions that know of none,
// and that questions of those are urgent.
func TestQuotaRanksBesideEarlierVersions(t *testing.T) {
	type earlierPacket struct {
		Addr          string         `cbor:"1,keyasint"`
		QuotaRequests []QuotaRequest `cbor:"31,keyasint,omitempty"`
	}
	questions := []QuotaRequest{{Number: 7, Tenant: "t", Purpose: QuotaAcquire}}

	ranked, err := encode(&Packet{Addr: "a", QuotaRequests: questions, QuotaRanks: []quota.Rank{2}})
	assert.NilError(t, err)
	var earlier earlierPacket
	assert.NilError(t, cbor.Unmarshal(ranked, &earlier))
	assert.DeepEqual(t, earlier.QuotaRequests, questions)
	p, err := decode(ranked)
	assert.NilError(t, err)
	assert.Equal(t, p.QuotaRank(0), quota.Rank(2))

	unranked, err := cbor.Marshal(earlierPacket{Addr: "a", QuotaRequests: questions})
	assert.NilError(t, err)
	p, err = decode(unranked)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.QuotaRequests, questions)
	assert.Equal(t, p.QuotaRank(0), quota.Rank(0))
}

// TestAddedElementIsNotUnderstood checks why ranks are not elements of QuotaRequest: a version with fewer elements
// refuses the whole datagram.
func TestAddedElementIsNotUnderstood(t *testing.T) {
	type longerRequest struct {
		_       struct{} `cbor:",toarray"`
		Number  uint64
		Tenant  string
		Purpose QuotaPurpose
		Rank    quota.Rank
	}
	type laterPacket struct {
		Addr          string          `cbor:"1,keyasint"`
		QuotaRequests []longerRequest `cbor:"31,keyasint,omitempty"`
	}
	b, err := cbor.Marshal(laterPacket{Addr: "a", QuotaRequests: []longerRequest{{Number: 7, Tenant: "t", Rank: 2}}})
	assert.NilError(t, err)
	_, err = decode(b)
	assert.ErrorContains(t, err, "cannot unmarshal")
}
