//go:build !race

package claim

// histories is how many histories the checker explores.
const histories = "3000"
