package allowance

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Partitions is the number of groups into which customers fall. Each instance
// talks to at most that many limiters; it must be the same at all instances.
const Partitions = 256

var partitionKeys = makePartitionKeys()

func makePartitionKeys() (keys [Partitions]string) {
	for i := range keys {
		keys[i] = "limits/" + strconv.Itoa(i)
	}
	return keys
}

// Partition returns the role under which a customer's limiter is placed by
// rendezvous hashing.
func Partition(c fleet.CustomerID) string {
	return partitionKeys[partitionOf(c)]
}

func partitionOf(c fleet.CustomerID) uint64 {
	return xxhash.Sum64String(string(c)) % Partitions
}
