package loader_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	"quetzalhub/loader"
	"quetzalhub/schema"
)

// eachKey calls section for each section of the schema and key for each of its keys.
func eachKey(section func(string), key func(protoreflect.FieldDescriptor)) {
	sections := (&schema.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		section(string(sections.Get(i).Name()))
		fields := sections.Get(i).Message().Fields()
		for j := range fields.Len() {
			key(fields.Get(j))
		}
	}
}

// accepted describes the accepted values of a key.
func accepted(r *schema.Rule) string {
	switch {
	case r.GetAddress():
		return "IP address and port"
	case len(r.GetChoices()) > 0:
		return strings.Join(r.GetChoices(), ", ")
	case r.GetMin() != "":
		return r.GetMin() + " to " + r.GetMax()
	default:
		return "text"
	}
}

// reference returns the reference page of all settings, in Markdown.
func reference() string {
	var b strings.Builder
	b.WriteString("# Settings of quetzald\n\nGenerated from schema/settings.proto.\n")
	eachKey(func(name string) {
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | accepted | meaning |\n|---|---|---|---|\n", name)
	}, func(f protoreflect.FieldDescriptor) {
		r := loader.RuleOf(f)
		defaultText := r.GetDefault()
		if r.GetRequired() {
			defaultText = "must be given"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Name(), defaultText, accepted(r), r.GetHelp())
	})
	return b.String()
}

// example returns an annotated example of a settings file.
func example() string {
	requiredValues := map[string]string{
		"name": "node-1", "domain": "north", "callers": "127.0.0.1:7000", "peers": "127.0.0.1:7001",
		"local": "127.0.0.1:7002", "admin": "127.0.0.1:7003", "address": "127.0.0.1:6000",
		"secret": "change-this-secret",
	}
	var b strings.Builder
	b.WriteString("; Example of the settings of quetzald. Keys behind a semicolon show their defaults.\n")
	eachKey(func(name string) {
		fmt.Fprintf(&b, "\n[%s]\n", name)
	}, func(f protoreflect.FieldDescriptor) {
		r := loader.RuleOf(f)
		fmt.Fprintf(&b, "; %s\n", r.GetHelp())
		if r.GetRequired() {
			fmt.Fprintf(&b, "%s = %s\n", f.Name(), requiredValues[string(f.Name())])
			return
		}
		fmt.Fprintf(&b, "; %s\n", strings.TrimSpace(fmt.Sprintf("%s = %s", f.Name(), r.GetDefault())))
	})
	return b.String()
}

// TestReference checks that the reference page and the example match the schema. Run it
// with UPDATE=1 to regenerate them.
func TestReference(t *testing.T) {
	pages := map[string]string{"../docs/SETTINGS.md": reference(), "../docs/quetzald.ini": example()}
	for path, want := range pages {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			if os.Getenv("UPDATE") != "" {
				g.Expect(os.WriteFile(path, []byte(want), 0o644)).To(Succeed())
			}
			written, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(written)).To(Equal(want))
		})
	}
	_, err := loader.Parse([]byte(example()))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}
