package fencer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhub/fencer"
	"quetzalhub/schema"
)

// TestAgainstModel compares a fencer with a model that never removes records, on
// random sequences of operations within the retention time.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fencer.New()
		model := map[string]schema.Progress{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := drawAttempt(t)
				if f.Begin(id) != (model[id] == 0) {
					t.Fatalf("Begin(%s) returned a wrong result for an attempt in state %v", id, model[id])
				}
				if model[id] == 0 {
					model[id] = schema.Progress_PROGRESS_RUNNING
				}
			},
			"end": func(t *rapid.T) {
				if id := drawAttempt(t); model[id] == schema.Progress_PROGRESS_RUNNING {
					f.End(id)
					model[id] = schema.Progress_PROGRESS_DONE
				}
			},
			"mark not run": func(t *rapid.T) {
				if id := drawAttempt(t); model[id] == schema.Progress_PROGRESS_RUNNING {
					f.MarkNotRun(id)
					model[id] = schema.Progress_PROGRESS_FENCED
				}
			},
			"check": func(t *rapid.T) {
				id := drawAttempt(t)
				if model[id] == 0 {
					model[id] = schema.Progress_PROGRESS_FENCED
				}
				if got := f.Check(id); got != model[id] {
					t.Fatalf("Check(%s) = %v, want %v", id, got, model[id])
				}
			},
		})
	})
}

func drawAttempt(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")) }

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := fencer.New()
		g.Expect(f.Begin("a")).To(BeTrue())
		f.End("a")
		g.Expect(f.Check("b")).To(Equal(schema.Progress_PROGRESS_FENCED))
		time.Sleep(fencer.Retention - time.Second)
		g.Expect(f.Check("a")).To(Equal(schema.Progress_PROGRESS_DONE))
		time.Sleep(8 * time.Minute)
		g.Expect(f.Begin("b")).To(BeFalse(), "fences should be kept longer than ended attempts")
	})
}

func BenchmarkBeginEnd(b *testing.B) {
	f := fencer.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint(i)
		f.Begin(id)
		f.End(id)
	}
}
