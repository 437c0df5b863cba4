package attacher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

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
	// idleSince holds the time since which each idleSince connection is so.
	idleSince map[net.Conn]time.Time
}

func newConnectionLimiter(files uint32, limit func() time.Duration) *connectionLimiter {
	k := &connectionLimiter{maxOpen: defaultMaxConnections, idleTimeout: limit, idleSince: map[net.Conn]time.Time{}}
	if files > 0 {
		k.maxOpen = max(1, int(connectionFileShare*float64(files)))
	}
	return k
}

// trackState records a state change of a connection; it is the server's
// ConnState hook.
func (k *connectionLimiter) trackState(c net.Conn, s http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch s {
	case http.StateNew:
		k.open++
	case http.StateIdle:
		k.idleSince[c] = time.Now()
	case http.StateActive:
		delete(k.idleSince, c)
	case http.StateClosed, http.StateHijacked:
		k.open--
		delete(k.idleSince, c)
	}
}

// isOverLimit reports whether callers should close their connections.
func (k *connectionLimiter) isOverLimit() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open > k.maxOpen
}

// count returns the number of open connections.
func (k *connectionLimiter) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open
}

// run closes connections past the idle timeout until the context ends.
func (k *connectionLimiter) run(ctx context.Context) {
	repeater.Run(ctx, idleCheckInterval, k.closeExpired)
}

func (k *connectionLimiter) closeExpired() {
	for _, c := range k.expiredConns(time.Now()) {
		// An error means that it is already closed.
		_ = c.Close()
	}
}

func (k *connectionLimiter) expiredConns(now time.Time) []net.Conn {
	limit := k.idleTimeout()
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []net.Conn
	for c, since := range k.idleSince {
		if now.Sub(since) > limit {
			list = append(list, c)
		}
	}
	return list
}
