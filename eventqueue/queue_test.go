package eventqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEventsRunInOrder(t *testing.T) {
	var q Queue
	var seen []string
	note := func(name string) func() {
		return func() { seen = append(seen, name+" "+q.Now().String()) }
	}
	q.After(2*time.Second, note("c"))
	q.After(time.Second, func() {
		note("a")()
		q.After(time.Second, note("d"))
	})
	q.After(time.Second, note("b"))
	q.After(5*time.Second, note("late"))
	q.Run(5 * time.Second)
	assert.DeepEqual(t, seen, []string{"a 1s", "b 1s", "c 2s", "d 2s"})
	q.Run(6 * time.Second)
	assert.Equal(t, seen[len(seen)-1], "late 5s")
}
