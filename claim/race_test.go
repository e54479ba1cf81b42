//go:build race

package claim

// histories is how many histories the checker explores. The model runs in one
// goroutine, so the race detector only makes it ten times slower.
const histories = "300"
