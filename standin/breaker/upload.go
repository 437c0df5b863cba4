package breaker

import (
	"io"
	"strings"
	"time"
)

// uploadPatience is the time after which the second half of an upload is sent in any case.
const uploadPatience = 10 * time.Second

// upload is a body whose second half is sent once the peer has ended its answer.
type upload struct {
	first, second io.Reader
	ended         <-chan struct{}
}

// NewUpload returns a body of two halves of a length. The second one is sent once a channel is closed,
// so that the request is still being written when its answer ends.
func NewUpload(half int, ended <-chan struct{}) io.Reader {
	text := strings.Repeat("x", half)
	return &upload{strings.NewReader(text), strings.NewReader(text), ended}
}

// Read reads from the body.
func (u *upload) Read(p []byte) (int, error) {
	if n, err := u.first.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-u.ended:
	case <-time.After(uploadPatience):
	}
	return u.second.Read(p)
}
