package conncheck

import (
	"net"
	"syscall"
)

// Quiet tells whether a connection on which nothing is expected is open and nothing
// has arrived on it. It does not wait. A byte that has arrived is taken off: it
// belongs to no request, so the connection must not be used any more.
func Quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
