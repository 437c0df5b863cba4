package pacer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhub/pacer"
)

// turn is the number of bytes after which a copy waits.
const turn = 64 << 10

// TestTurns checks that copies together get one turn in each pause, those that began first before
// the others, that the end of a copy is foreseen, and that short copies do not wait.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := pacer.New()
		began := time.Now()
		var group sync.WaitGroup
		var ends [4]time.Duration
		for i := range ends {
			s := p.Open(100 * turn)
			group.Go(func() {
				defer s.Close()
				for range 100 {
					s.Add(turn)
				}
				ends[i] = time.Since(began)
			})
		}
		time.Sleep(20 * time.Millisecond)
		g.Expect(p.Foresee()).To(BeNumerically("~", 20*time.Millisecond, 5*time.Millisecond))
		group.Wait()
		// Two copies take turns, since the turn is passed on before its holder asks again.
		for i, end := range []time.Duration{20, 20, 40, 40} {
			g.Expect(ends[i]).To(BeNumerically("~", end*time.Millisecond, time.Millisecond))
		}
		g.Expect(p.Foresee()).To(BeZero())
		began = time.Now()
		p.Open(-1).Add(turn / 2)
		(*pacer.Pacer)(nil).Open(1 << 20).Add(1 << 20)
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// TestAbandonedCopies checks that copies which end early are no longer counted.
func TestAbandonedCopies(t *testing.T) {
	g := NewWithT(t)
	p := pacer.New()
	s := p.Open(1000 * turn)
	s.Add(turn)
	g.Expect(p.Foresee()).To(BeNumerically(">", 0))
	s.Close()
	s.Close()
	g.Expect(p.Foresee()).To(BeZero())
}
