package conncheck

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection is open and has no data to read, without
// blocking. It consumes a byte if one is available: such a byte belongs to no request,
// so the connection must be closed. A connection that is not a syscall.Conn cannot be
// checked and is reported as reusable.
func Reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
