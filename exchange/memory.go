package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory is the error of an exchange whose response waited for memory until the deadline passed or the target
// cut it off. The target is not at fault and may have run the request.
var ErrNoMemory = errors.New("no memory for the response in time")

// responseMemory acquires the memory for the response of one exchange.
type responseMemory struct {
	ctx      context.Context
	memory   Memory
	deadline time.Time
	// waited is the Result.Waited of the exchange.
	waited *time.Duration
}

// acquire waits until there is room for n bytes, if there is a bound.
func (m *responseMemory) acquire(n int64) error {
	if m.memory == nil {
		return nil
	}
	waited, err := m.memory.Acquire(m.ctx, n, m.deadline)
	*m.waited += waited
	return errors.WithStack(err)
}
