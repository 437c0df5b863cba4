package gossiper_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/gossiper"
	"quetzalhub/schema"
)

// TestWatchers guards against watchers that do not reach the platform while others of their
// failure domain do, against a domain without any, and against ones that change when another
// node becomes blind.
func TestWatchers(t *testing.T) {
	cases := map[string]struct {
		nodes int
		// blind holds positions in the order of the domain.
		blind, want []int
	}{
		"calm":                       {6, nil, []int{0, 1}},
		"one node":                   {1, nil, []int{0}},
		"one node, blind":            {1, []int{0}, []int{0}},
		"the first blind":            {6, []int{0}, []int{1, 2}},
		"the second blind":           {6, []int{1}, []int{0, 2}},
		"both blind":                 {6, []int{0, 1}, []int{2, 3}},
		"another one blind":          {6, []int{4}, []int{0, 1}},
		"three blind":                {8, []int{0, 1, 2}, []int{3, 4, 5}},
		"all but one blind":          {6, []int{0, 1, 2, 3, 4}, []int{5}},
		"all blind, as if none were": {6, []int{0, 1, 2, 3, 4, 5}, []int{0, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			members := map[string]*schema.Member{"other": {Name: "other", Domain: "b", Status: schema.Status_STATUS_ALIVE, Blind: true}}
			for i := range c.nodes {
				name := fmt.Sprint("node-", i)
				members[name] = &schema.Member{Name: name, Domain: "a", Status: schema.Status_STATUS_ALIVE}
			}
			// The order shows by taking out the first one again and again.
			var order []string
			for len(members) > 1 {
				first := gossiper.NewView(members).Watchers("a")[0].GetName()
				order = append(order, first)
				delete(members, first)
			}
			for _, name := range order {
				members[name] = &schema.Member{Name: name, Domain: "a", Status: schema.Status_STATUS_ALIVE}
			}
			for _, i := range c.blind {
				members[order[i]].Blind = true
			}
			view := gossiper.NewView(members)
			var want, watchers []string
			for _, i := range c.want {
				want = append(want, order[i])
			}
			for _, m := range view.Watchers("a") {
				watchers = append(watchers, m.GetName())
			}
			g.Expect(watchers).To(Equal(want))
			g.Expect(view.BlindCount("a")).To(Equal(len(c.blind)))
			for i, name := range order {
				g.Expect(view.IsPreferredWatcher(name)).To(Equal(i < 2))
				_, watcher := view.WatcherIndex(name)
				g.Expect(watcher).To(Equal(slices.Contains(want, name)))
			}
		})
	}
}
