package instance

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// listeners are the sockets of an instance.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

func listen(callers, peers, admin string) (*listeners, error) {
	l := &listeners{}
	for _, b := range []struct {
		addr string
		dst  *net.Listener
	}{{callers, &l.callers}, {peers, &l.peers}, {admin, &l.admin}} {
		ln, err := net.Listen("tcp", b.addr)
		if err != nil {
			l.close()
			return nil, errors.WithStack(err)
		}
		*b.dst = ln
	}
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.peers, l.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// server is an HTTP server, of callers, peers or operators.
type server interface {
	Serve(net.Listener) error
}

// serve runs a server until it is shut down.
func serve(name string, srv server, ln net.Listener) {
	err := srv.Serve(ln)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "server ended", "server", name, "addr", ln.Addr().String())
	}
}

// CallerAddr returns the address that callers reach.
func (i *Instance) CallerAddr() string { return i.sockets.callers.Addr().String() }

// PeerAddr returns the address that peers reach.
func (i *Instance) PeerAddr() string { return i.sockets.peers.Addr().String() }

// AdminAddr returns the address that operators reach.
func (i *Instance) AdminAddr() string { return i.sockets.admin.Addr().String() }
