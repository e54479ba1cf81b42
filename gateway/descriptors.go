package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// reservedFiles is the number of descriptors that are not for connections, half of all if there are fewer than
	// twice as many.
	reservedFiles = 200
	// callerConnShare is the part of the connections for callers, those that may be open although many of them send
	// nothing.
	callerConnShare = 0.5
	// Connections to the address for readiness checks: minReadyConns and a readyConnShare of all.
	minReadyConns  = 16
	readyConnShare = 1.0 / 64
	// spareConnShare is the part of the connections for the store, other instances and further attempts.
	spareConnShare = 1.0 / 8
	// aheadShare is the number of requests that run ahead of their turn, of the connections, and maxAhead the most.
	aheadShare = 1.0 / 8
	maxAhead   = 1024
)

// descriptors divides the descriptors of the process.
type descriptors struct {
	// conns is the number of connections of all kinds.
	conns int
	// front and ready are the connections of callers and of readiness checks, targets those to targets.
	front, ready *callers.Door
	targets      *exchange.Cache
}

// newAccount returns the account of what is held for callers and divides the descriptors.
func newAccount(s *Settings, targets *exchange.Cache, clock callers.Clock) (*callers.Account, *descriptors) {
	conns := s.MaxFiles - min(reservedFiles, s.MaxFiles/2)
	part := func(share float64) int { return int(share * float64(conns)) }
	memory := func(fraction float64) int64 { return int64(fraction * float64(s.MemoryBytes)) }
	a := callers.New(callers.Limits{Bytes: memory(requestsMemoryFraction), TotalBytes: memory(heldMemoryFraction), Ahead: min(part(aheadShare), maxAhead)}, clock)
	d := &descriptors{conns: conns, front: a.NewDoor(part(callerConnShare)), ready: a.NewDoor(minReadyConns + part(readyConnShare)), targets: targets}
	targets.MaxOpen = d.forTargets
	return a, d
}

// forTargets returns the number of connections to targets that may be open.
func (d *descriptors) forTargets() int {
	spare := int(spareConnShare * float64(d.conns))
	return d.conns - spare - d.front.Len() - d.ready.Len()
}

// available reports whether a connection to a target may be opened.
func (d *descriptors) available() bool { return d.targets.Active() < d.forTargets() }

const (
	// connWaitTimeout bounds the wait for a connection to a target, connPollInterval is its interval. If requests were
	// refused at once, those of callers that send the next one at once would take every connection that falls free.
	connWaitTimeout  = 200 * time.Millisecond
	connPollInterval = 5 * time.Millisecond
)

// await waits for a connection to a target and reports whether one may be opened.
func (d *descriptors) await(ctx context.Context) bool {
	for range connWaitTimeout / connPollInterval {
		if d.available() {
			return true
		}
		if !wait.For(ctx, connPollInterval) {
			return false
		}
	}
	return d.available()
}

// processFiles returns the number of descriptors that the process may open.
func processFiles() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.WithStack(err)
	}
	return int(min(limit.Cur, maxProcessFiles)), nil
}

// maxProcessFiles bounds what is made of an unlimited number of descriptors.
const maxProcessFiles = 1 << 20
