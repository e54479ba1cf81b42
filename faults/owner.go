package faults

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/vishvananda/netlink"

	"github.com/clementinereel/clementinereel/fleet"
)

// owners tells which instance's process has opened a connection.
type owners struct {
	mu   sync.Mutex
	pids map[fleet.InstanceID]int
}

func (o *owners) set(id fleet.InstanceID, pid int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pids == nil {
		o.pids = map[fleet.InstanceID]int{}
	}
	o.pids[id] = pid
}

// A process that has just started may connect before its id is known here.
const (
	ownerTries = 5
	ownerPause = 20 * time.Millisecond
)

// owner returns the instance whose process opened a connection, and "" if
// none has. The connection is seen from its accepting side.
func (o *owners) owner(accepted net.Conn) fleet.InstanceID {
	for range ownerTries {
		if id := o.find(accepted); id != "" {
			return id
		}
		time.Sleep(ownerPause)
	}
	return ""
}

func (o *owners) find(accepted net.Conn) fleet.InstanceID {
	sock, err := netlink.SocketGet(accepted.RemoteAddr(), accepted.LocalAddr())
	if err != nil {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, pid := range o.pids {
		if hasSocket(pid, sock.INode) {
			return id
		}
	}
	return ""
}

func hasSocket(pid int, inode uint32) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && to == want {
			return true
		}
	}
	return false
}
