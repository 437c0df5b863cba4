package editor_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/configurer"
	"quetzalhub/editor"
	"quetzalhub/schema"
	"quetzalhub/storer"
)

var errLost = errors.New("response lost")

// lossyStore is a store in memory that loses the response to its first write. After the
// loss it calls others, which may write.
type lossyStore struct {
	data     []byte
	revision int
	accept   bool
	others   func()
}

func (s *lossyStore) Read(context.Context, string) (storer.Object, error) {
	if s.revision == 0 {
		return storer.Object{}, storer.ErrMissing
	}
	return storer.Object{Data: s.data, Version: s.version()}, nil
}

func (s *lossyStore) Watch(context.Context, string, storer.Version, time.Duration) (storer.Object, error) {
	return storer.Object{}, storer.ErrUnchanged
}

func (s *lossyStore) Write(_ context.Context, _ string, data []byte, known storer.Version) (storer.Version, error) {
	if known != s.version() {
		return storer.Absent, storer.ErrConflict
	}
	others := s.others
	s.others = nil
	if others == nil || s.accept {
		s.data = data
		s.revision++
	}
	if others != nil {
		others()
		return storer.Absent, errLost
	}
	return s.version(), nil
}

func (s *lossyStore) version() storer.Version {
	if s.revision == 0 {
		return storer.Absent
	}
	return storer.Version(strconv.Itoa(s.revision))
}

// TestLostResponseAmongManyWrites guards against an edit that is applied twice: its response
// was lost, and the writes of others pushed its ID out of the state before it was looked for.
func TestLostResponseAmongManyWrites(t *testing.T) {
	type outcome struct {
		version uint64
		err     error
		applied int
	}
	tests := map[string]struct {
		accepted bool
		others   int
		want     outcome
	}{
		"accepted, no other write":      {true, 0, outcome{version: 1, applied: 1}},
		"accepted, ID kept":             {true, 63, outcome{version: 1, applied: 1}},
		"accepted, ID gone":             {true, 64, outcome{err: editor.ErrOutcomeUnknown, applied: 1}},
		"accepted, ID long gone":        {true, 200, outcome{err: editor.ErrOutcomeUnknown, applied: 1}},
		"not accepted, no other write":  {false, 0, outcome{version: 1, applied: 1}},
		"not accepted, ID of its place": {false, 64, outcome{version: 65, applied: 1}},
		"not accepted, place gone":      {false, 65, outcome{err: editor.ErrOutcomeUnknown}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &lossyStore{accept: tt.accepted}
				s.others = func() {
					other := editor.New(s, "other")
					for i := range tt.others {
						_, err := other.Edit(t.Context(), func(state *schema.State) error {
							return configurer.SetWorkspace(state, fmt.Sprintf("w-%d", i), 1, 1)
						})
						g.Expect(err).NotTo(HaveOccurred())
					}
				}
				version, err := editor.New(s, "operator").Edit(t.Context(), func(state *schema.State) error {
					return configurer.SetWorkspace(state, "gloves", 1, 1)
				})
				got := outcome{version: version, err: err}
				state, _, err := editor.New(s, "check").Read(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				got.applied = int(state.GetVersion()) - tt.others
				g.Expect(got).To(Equal(tt.want))
			})
		})
	}
}
