package drainer

import (
	"net"
	"net/http"
)

// Option sets an option of a Server.
type Option func(*options)

type options struct {
	onState      func(net.Conn, http.ConnState)
	onUnanswered func(Unanswered)
}

// OnState passes the state changes of connections to a function.
func OnState(f func(net.Conn, http.ConnState)) Option {
	return func(o *options) { o.onState = f }
}

// OnUnanswered passes the connections that the server ends without an answer to a function, which
// must not block, nor call the server.
func OnUnanswered(f func(Unanswered)) Option {
	return func(o *options) { o.onUnanswered = f }
}
