package conncheck

import "syscall"

// HasData reports whether data has arrived on a connection that has not been read, without blocking and
// without consuming any. Another goroutine may be reading.
func HasData(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // -1 if there is none
	})
	return err == nil && n > 0
}
