package editor_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"quetzalhub/configurer"
	"quetzalhub/editor"
	"quetzalhub/schema"
	"quetzalhub/standin/platform"
	"quetzalhub/storer"
)

// operation is an edit, or a read if it is not one.
type operation struct{ edit bool }

// result is the version returned; unknown results may be any.
type result struct {
	version uint64
	unknown bool
	failed  bool
}

// versions is the model: the state is the version, edits raise it by one.
var versions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, op, r := state.(uint64), input.(operation), output.(result)
		switch {
		case !op.edit:
			return r.version == version, version
		case r.unknown:
			return true, version + 1
		default:
			return r.version == version+1, version + 1
		}
	},
}

// TestRacingOperators lets operators edit at once while the platform loses
// answers, goes down and comes back, and checks the history.
func TestRacingOperators(t *testing.T) {
	g := NewWithT(t)
	p := platform.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	stop := make(chan struct{})
	var disturbing sync.WaitGroup
	disturbing.Go(func() { disturb(p, stop) })
	var group sync.WaitGroup
	for client := range 5 {
		group.Go(func() {
			e := editor.New(storer.NewHTTP(address, time.Second), fmt.Sprintf("operator-%d", client))
			for i := range 40 {
				op := operation{edit: i%2 == 0}
				call := time.Since(started)
				r := perform(e, op, fmt.Sprintf("w-%d-%d", client, i))
				if r.failed {
					continue
				}
				back := time.Since(started)
				if r.unknown {
					back = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: op, Call: int64(call), Output: r, Return: int64(back),
				})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(stop)
	disturbing.Wait()
	p.SetSwitches(platform.Switches{})
	t.Logf("%d operations ended", len(history))
	g.Expect(porcupine.CheckOperations(versions, history)).To(BeTrue())
	g.Expect(lostWorkspaces(g, address, history)).To(BeEmpty())
}

func perform(e *editor.Editor, op operation, name string) result {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if !op.edit {
		state, _, err := e.Read(ctx)
		return result{version: state.GetVersion(), failed: err != nil}
	}
	version, err := e.Edit(ctx, func(s *schema.State) error { return configurer.SetWorkspace(s, name, 1, 1) })
	// An error before the write, such as a failed read, changed nothing. An
	// unknown edit that never happened fits at the end of the history.
	if errors.Is(err, editor.ErrUnknown) {
		return result{unknown: true}
	}
	if err != nil {
		return result{failed: true}
	}
	return result{version: version}
}

// lostWorkspaces returns the versions accepted in the history beyond the last
// one on the platform.
func lostWorkspaces(g *WithT, address string, history []porcupine.Operation) []uint64 {
	state, _, err := editor.New(storer.NewHTTP(address, time.Second), "check").Read(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	var lost []uint64
	accepted := 0
	for _, op := range history {
		if !op.Input.(operation).edit || op.Output.(result).unknown {
			continue
		}
		accepted++
		if v := op.Output.(result).version; v > state.GetVersion() {
			lost = append(lost, v)
		}
	}
	g.Expect(len(state.GetConfig().GetWorkspaces())).To(BeNumerically(">=", accepted))
	return lost
}

// disturb makes the platform fail in turns.
func disturb(p *platform.Platform, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		switch rng.IntN(4) {
		case 0:
			p.SetSwitches(platform.Switches{DropWriteResponses: true})
		case 1:
			p.SetSwitches(platform.Switches{Down: true})
		default:
			p.SetSwitches(platform.Switches{})
		}
	}
}

// TestLostAnswerIsLookedUp loses the answer to a write that took effect.
func TestLostAnswerIsLookedUp(t *testing.T) {
	g := NewWithT(t)
	p := platform.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	e := editor.New(storer.NewHTTP(strings.TrimPrefix(server.URL, "http://"), time.Second), "operator")
	p.SetSwitches(platform.Switches{DropWriteResponses: true})
	version, err := e.Edit(context.Background(), func(s *schema.State) error {
		return configurer.SetWorkspace(s, "gloves", 1, 1)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(Equal(uint64(1)))
	g.Expect(p.Counts().Writes).To(Equal(int64(1)))
}
