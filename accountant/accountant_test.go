package accountant_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhub/accountant"
	"quetzalhub/schema"
)

// TestShares checks how much of the bound workspaces that send without end can use, and
// that small requests of others still have room.
func TestShares(t *testing.T) {
	const bound, step = 1 << 20, 1024
	cases := map[string]struct {
		class   schema.Class
		greedy  int
		percent int64
	}{
		"one of normal class":   {schema.Class_CLASS_NORMAL, 1, 50},
		"two of normal class":   {schema.Class_CLASS_NORMAL, 2, 66},
		"one without a class":   {schema.Class_CLASS_UNSPECIFIED, 1, 50},
		"one of low class":      {schema.Class_CLASS_LOW, 1, 33},
		"one of high class":     {schema.Class_CLASS_HIGH, 1, 66},
		"one of critical class": {schema.Class_CLASS_CRITICAL, 1, 80},
		"nine of normal class":  {schema.Class_CLASS_NORMAL, 9, 90},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := accountant.New(bound)
			var loans []*accountant.Loan
			for i := range c.greedy {
				loans = append(loans, a.Open(string(rune('a'+i)), c.class))
			}
			for grown := true; grown; {
				grown = false
				for _, l := range loans {
					grown = l.Grow(step) || grown
				}
			}
			g.Expect(a.Usage().Used * 100 / bound).To(BeNumerically("~", c.percent, 2))
			g.Expect(a.Open("other", schema.Class_CLASS_LOW).Grow(step)).To(BeTrue())
			for _, l := range loans {
				l.Close()
			}
			g.Expect(a.Usage().Workspaces).To(Equal(1))
		})
	}
}

// TestAccounts checks, for random loans, that no more than the bound is lent and that the
// account is empty once all loans are closed.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1000
		a := accountant.New(bound)
		var loans []*accountant.Loan
		taken := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				class := schema.Class(rapid.IntRange(0, 4).Draw(t, "class"))
				loans = append(loans, a.Open(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"), class))
			case 1:
				if len(loans) > 0 {
					loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")].Grow(rapid.Int64Range(0, 400).Draw(t, "bytes"))
				}
			case 2:
				if len(loans) > 0 {
					bytes := rapid.Int64Range(0, 50).Draw(t, "taken")
					loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")].Take(bytes)
					taken += bytes
				}
			case 3:
				if len(loans) > 0 {
					loans[rapid.IntRange(0, len(loans)-1).Draw(t, "loan")].Close()
				}
			}
			if used := a.Usage().Used; used < 0 || used > bound+taken {
				t.Fatalf("%d bytes in use", used)
			}
		}
		for _, l := range loans {
			l.Close()
		}
		if u := a.Usage(); u.Used != 0 || u.Workspaces != 0 {
			t.Fatalf("in use after all loans are closed: %+v", u)
		}
	})
}

// TestNoBound checks that a nil Accountant lends without a bound.
func TestNoBound(t *testing.T) {
	g := NewWithT(t)
	var a *accountant.Accountant
	l := a.Open("gloves", schema.Class_CLASS_LOW)
	g.Expect(l.Grow(1 << 40)).To(BeTrue())
	l.Take(1 << 40)
	l.Close()
}
