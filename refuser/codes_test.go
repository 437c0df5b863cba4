package refuser_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhub/refuser"
)

// table returns the documentation page of all codes.
func table() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("1xxx: refused at the entry; 2xxx: refused between nodes; 3xxx: may have run; 4xxx: calls of upstreams.\n\n")
	b.WriteString("| code | name of the counter | status | outcome | meaning |\n|---|---|---|---|---|\n")
	codes := refuser.Codes()
	var sorted []refuser.Code
	for c := range codes {
		sorted = append(sorted, c)
	}
	slices.Sort(sorted)
	for _, c := range sorted {
		m := codes[c]
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", c, m.Name, m.Status, refuser.OutcomeName(m.Outcome), m.Title)
	}
	return b.String()
}

// TestCodesAreDocumented compares docs/CODES.md with the code. Run it with
// UPDATE=1 to regenerate the page.
func TestCodesAreDocumented(t *testing.T) {
	g := NewWithT(t)
	const page = "../docs/CODES.md"
	if os.Getenv("UPDATE") != "" {
		g.Expect(os.WriteFile(page, []byte(table()), 0o644)).To(Succeed())
	}
	written, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(written)).To(Equal(table()))
}
