package attacher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalhub/drainer"
	"quetzalhub/util/repeater"
)

const (
	// connectionFileShare is the share of the process's file limit that caller
	// connections may use; above it callers are asked to close theirs. Each
	// request at the upstream needs further files, for connections to the
	// upstream and to other nodes.
	connectionFileShare = 0.25
	// defaultMaxConnections is the limit of caller connections if the settings
	// give no file limit.
	defaultMaxConnections = 1000
	// defaultIdleTimeout applies if the configuration gives no idle timeout.
	defaultIdleTimeout = 2 * time.Minute
	// idleCheckInterval is the time between checks for idle connections.
	idleCheckInterval = time.Second
)

// connectionLimiter bounds the connections of callers. Refused callers retry on
// new connections and leave the old ones open, so in an overload their number
// grows by hundreds per second.
type connectionLimiter struct {
	// maxOpen is the number of connections above which callers are asked to
	// close theirs.
	maxOpen int
	// idleTimeout returns how long a connection may stay idle. Callers know it
	// too and don't reuse a connection that is close to it.
	idleTimeout func() time.Duration

	mu   sync.Mutex
	open int
	// idleSince holds the time at which each idle connection became idle.
	idleSince map[net.Conn]time.Time
}

func newConnectionLimiter(maxFiles uint32, idleTimeout func() time.Duration) *connectionLimiter {
	l := &connectionLimiter{maxOpen: defaultMaxConnections, idleTimeout: idleTimeout, idleSince: map[net.Conn]time.Time{}}
	if maxFiles > 0 {
		l.maxOpen = max(1, int(connectionFileShare*float64(maxFiles)))
	}
	return l
}

// trackState records a state change of a connection; it is the server's
// ConnState hook.
func (l *connectionLimiter) trackState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.open++
	case http.StateIdle:
		l.idleSince[c] = time.Now()
	case http.StateActive:
		delete(l.idleSince, c)
	case http.StateClosed, http.StateHijacked:
		l.open--
		delete(l.idleSince, c)
	}
}

// isOverLimit reports whether callers should close their connections.
func (l *connectionLimiter) isOverLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.maxOpen
}

// count returns the number of open connections.
func (l *connectionLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// run closes connections past the idle timeout until the context ends.
func (l *connectionLimiter) run(ctx context.Context) {
	repeater.Run(ctx, idleCheckInterval, l.closeExpired)
}

func (l *connectionLimiter) closeExpired() {
	for _, c := range l.expiredConns(time.Now()) {
		drainer.CloseIdle(c)
	}
}

func (l *connectionLimiter) expiredConns(now time.Time) []net.Conn {
	timeout := l.idleTimeout()
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []net.Conn
	for c, since := range l.idleSince {
		if now.Sub(since) > timeout {
			expired = append(expired, c)
		}
	}
	return expired
}
