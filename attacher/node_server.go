package attacher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTimeout is the time, from the begin of the shutdown of a server, after which
// connections without a request are closed.
const firstRequestTimeout = 250 * time.Millisecond

// nodeServer is a server of a node. Its shutdown does not wait for connections that have
// never carried a request, as that of net/http does for several seconds.
type nodeServer struct {
	*http.Server

	mu     sync.Mutex
	unused map[net.Conn]bool
}

// newNodeServer returns a server. onState, if not nil, receives the state changes of its
// connections.
func newNodeServer(handler http.Handler, onState func(net.Conn, http.ConnState)) *nodeServer {
	s := &nodeServer{Server: &http.Server{Handler: handler}, unused: map[net.Conn]bool{}}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		s.trackState(c, state)
		if onState != nil {
			onState(c, state)
		}
	}
	return s
}

func (s *nodeServer) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = true
		return
	}
	delete(s.unused, c)
}

// shutDown closes the listener and waits for active requests until the context ends.
func (s *nodeServer) shutDown(ctx context.Context) error {
	timer := time.AfterFunc(firstRequestTimeout, s.closeUnused)
	defer timer.Stop()
	return s.Shutdown(ctx)
}

func (s *nodeServer) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		// An error means that it is already closed.
		_ = c.Close()
	}
}
