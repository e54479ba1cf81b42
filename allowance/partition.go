package allowance

import (
	"strconv"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/ratelimit"
)

var partitionKeys = makePartitionKeys()

func makePartitionKeys() (keys [ratelimit.Partitions]string) {
	for i := range keys {
		keys[i] = "limits/" + strconv.Itoa(i)
	}
	return keys
}

// Partition returns the rendezvous hashing key that selects the limiter of a
// customer.
func Partition(c fleet.CustomerID) string {
	return partitionKeys[ratelimit.PartitionOf(c)]
}
