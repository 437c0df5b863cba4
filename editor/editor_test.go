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

// operation is an edit or a read.
type operation struct{ edit bool }

// result is the outcome of an operation. With unknown set, the edit may or may not have
// been accepted.
type result struct {
	version uint64
	unknown bool
	failed  bool
}

// versionModel is a register that holds the version; an edit increments it by one.
var versionModel = porcupine.Model{
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

// TestConcurrentEdits has several operators edit and read at the same time while the
// platform loses responses and goes down, and checks that the history is linearizable
// and that no accepted edit is lost.
func TestConcurrentEdits(t *testing.T) {
	g := NewWithT(t)
	p := platform.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	stop := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { injectFaults(p, stop) })
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
				returned := time.Since(started)
				if r.unknown {
					returned = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: op, Call: int64(call), Output: r, Return: int64(returned),
				})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(stop)
	injector.Wait()
	p.SetSwitches(platform.Switches{})
	t.Logf("%d operations recorded", len(history))
	g.Expect(porcupine.CheckOperations(versionModel, history)).To(BeTrue())
	g.Expect(lostVersions(g, address, history)).To(BeEmpty())
}

func perform(e *editor.Editor, op operation, name string) result {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if !op.edit {
		state, _, err := e.Read(ctx)
		return result{version: state.GetVersion(), failed: err != nil}
	}
	version, err := e.Edit(ctx, func(s *schema.State) error { return configurer.SetWorkspace(s, name, 1, 1) })
	// After an error before the write, such as a failed read, nothing has changed. An edit
	// with an unknown outcome that was not accepted can be placed at the end of the history.
	if errors.Is(err, editor.ErrOutcomeUnknown) {
		return result{unknown: true}
	}
	if err != nil {
		return result{failed: true}
	}
	return result{version: version}
}

// lostVersions returns the versions accepted in the history that are higher than the
// version on the platform.
func lostVersions(g *WithT, address string, history []porcupine.Operation) []uint64 {
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

// injectFaults randomly loses responses of the platform or takes it down, until stop is
// closed.
func injectFaults(p *platform.Platform, stop chan struct{}) {
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

// TestWriteWithLostResponseIsFound loses the response to an accepted write and
// checks that the editor finds it and does not write again.
func TestWriteWithLostResponseIsFound(t *testing.T) {
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
