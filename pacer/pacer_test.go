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

// foresee returns the time after which a copy of no bytes would end.
func foresee(p *pacer.Pacer) time.Duration {
	s := p.Open(0)
	defer s.Close()
	return s.Foresee()
}

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
		time.Sleep(100 * time.Millisecond)
		g.Expect(foresee(p)).To(BeNumerically("~", 100*time.Millisecond, 15*time.Millisecond))
		group.Wait()
		// Two copies take turns, since the turn is passed on before its holder asks again.
		for i, end := range []time.Duration{100, 100, 200, 200} {
			g.Expect(ends[i]).To(BeNumerically("~", end*time.Millisecond, 5*time.Millisecond))
		}
		g.Expect(foresee(p)).To(BeZero())
		began = time.Now()
		p.Open(-1).Add(turn / 8)
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
	g.Expect(foresee(p)).To(BeNumerically(">", 0))
	s.Close()
	s.Close()
	g.Expect(foresee(p)).To(BeZero())
}

// TestSlowSenders guards against refusing bodies because of slow senders that announce long ones.
func TestSlowSenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := pacer.New()
		for range 200 {
			s := p.Open(1000 * turn)
			defer s.Close()
			s.Add(1)
		}
		g.Expect(foresee(p)).To(BeZero())
		stopped := p.Open(1000 * turn)
		defer stopped.Close()
		stopped.Add(4 * turn)
		g.Expect(foresee(p)).To(BeNumerically(">", 100*time.Millisecond))
		time.Sleep(time.Second)
		g.Expect(foresee(p)).To(BeZero())
	})
}
