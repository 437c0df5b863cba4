// Package loader reads the settings of the daemon from an INI file and checks
// them against the schema.
//
// # Usage
//
//	settings, err := loader.Load("/etc/quetzald.ini")
//
// The sections and keys, their defaults and accepted ranges are those of the
// Settings message in schema/settings.proto. Load reports all faults in the
// file at once, each with its section, key and accepted values. An unknown key is a
// fault; its message suggests the most similar known key.
package loader

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gopkg.in/ini.v1"

	"quetzalhub/schema"
)

// Fault is one error in a settings file.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

// String returns the fault in the form "[section] key: reason".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}

// Faults is the error returned for a file with faults.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file at path. Each override, of the form "section.key=value",
// replaces a value of the file; an empty value leaves it as it is.
func Load(path string, overrides ...string) (*schema.Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	for _, o := range overrides {
		name, value, ok := strings.Cut(o, "=")
		section, key, qualified := strings.Cut(name, ".")
		if !ok || !qualified {
			return nil, errors.Errorf("the setting %q does not have the form section.key=value", o)
		}
		if value != "" {
			file.Section(section).Key(key).SetValue(value)
		}
	}
	return decode(file)
}

// Parse parses and checks settings held in memory.
func Parse(text []byte) (*schema.Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	return decode(file)
}

func decode(file *ini.File) (*schema.Settings, error) {
	settings := &schema.Settings{}
	root := settings.ProtoReflect()
	sections := root.Descriptor().Fields()
	faults := unknownSections(file, sections)
	for i := range sections.Len() {
		field := sections.Get(i)
		section := file.Section(string(field.Name()))
		message := root.Mutable(field).Message()
		faults = append(faults, decodeSection(section, message)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

func unknownSections(file *ini.File, known protoreflect.FieldDescriptors) Faults {
	var faults Faults
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if known.ByName(protoreflect.Name(name)) == nil {
			reason := "unknown section" + suggestion(name, known)
			faults = append(faults, Fault{Section: name, Reason: reason})
		}
	}
	return faults
}

func decodeSection(section *ini.Section, message protoreflect.Message) Faults {
	var faults Faults
	fields := message.Descriptor().Fields()
	for _, key := range section.KeyStrings() {
		if fields.ByName(protoreflect.Name(key)) == nil {
			reason := "unknown key" + suggestion(key, fields)
			faults = append(faults, Fault{section.Name(), key, reason})
		}
	}
	for i := range fields.Len() {
		field := fields.Get(i)
		name := string(field.Name())
		text := strings.TrimSpace(section.Key(name).String())
		if reason := setField(message, field, text); reason != "" {
			faults = append(faults, Fault{section.Name(), name, reason})
		}
	}
	return faults
}

func setField(message protoreflect.Message, field protoreflect.FieldDescriptor, text string) string {
	rule := RuleOf(field)
	if text == "" {
		text = rule.GetDefault()
	}
	if text == "" {
		if rule.GetRequired() {
			return "missing; must be given"
		}
		return ""
	}
	value, reason := parseValue(field, rule, text)
	if reason != "" {
		return fmt.Sprintf("%q: %s", text, reason)
	}
	message.Set(field, value)
	return ""
}

// RuleOf returns the rule that the schema attaches to a key.
func RuleOf(field protoreflect.FieldDescriptor) *schema.Rule {
	rule, ok := proto.GetExtension(field.Options(), schema.E_Rule).(*schema.Rule)
	if !ok || rule == nil {
		return &schema.Rule{}
	}
	return rule
}

func parseValue(field protoreflect.FieldDescriptor, rule *schema.Rule, text string) (protoreflect.Value, string) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return parseDuration(rule, text)
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return parseUnsigned(field, rule, text)
	case protoreflect.DoubleKind:
		return parseNumber(rule, text)
	default:
		return parseText(rule, text)
	}
}

func parseDuration(rule *schema.Rule, text string) (protoreflect.Value, string) {
	d, err := time.ParseDuration(text)
	low, _ := time.ParseDuration(rule.GetMin())
	high, _ := time.ParseDuration(rule.GetMax())
	if err != nil || d < low || d > high {
		return protoreflect.Value{}, acceptedRange("a duration", rule)
	}
	return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), ""
}

func parseUnsigned(field protoreflect.FieldDescriptor, rule *schema.Rule, text string) (protoreflect.Value, string) {
	n, err := strconv.ParseUint(text, 10, 64)
	low, _ := strconv.ParseUint(rule.GetMin(), 10, 64)
	high, _ := strconv.ParseUint(rule.GetMax(), 10, 64)
	if err != nil || n < low || n > high {
		return protoreflect.Value{}, acceptedRange("a whole number", rule)
	}
	if field.Kind() == protoreflect.Uint32Kind {
		return protoreflect.ValueOfUint32(uint32(n)), ""
	}
	return protoreflect.ValueOfUint64(n), ""
}

func parseNumber(rule *schema.Rule, text string) (protoreflect.Value, string) {
	n, err := strconv.ParseFloat(text, 64)
	low, _ := strconv.ParseFloat(rule.GetMin(), 64)
	high, _ := strconv.ParseFloat(rule.GetMax(), 64)
	if err != nil || !(n >= low && n <= high) {
		return protoreflect.Value{}, acceptedRange("a number", rule)
	}
	return protoreflect.ValueOfFloat64(n), ""
}

func parseText(rule *schema.Rule, text string) (protoreflect.Value, string) {
	if rule.GetAddress() {
		if _, err := netip.ParseAddrPort(text); err != nil {
			return protoreflect.Value{}, "accepted: an IP address and port, such as 127.0.0.1:7000"
		}
	}
	if len(rule.GetChoices()) > 0 && !contains(rule.GetChoices(), text) {
		return protoreflect.Value{}, "accepted: " + strings.Join(rule.GetChoices(), ", ")
	}
	return protoreflect.ValueOfString(text), ""
}

func acceptedRange(kind string, rule *schema.Rule) string {
	return fmt.Sprintf("accepted: %s from %s to %s", kind, rule.GetMin(), rule.GetMax())
}

func contains(choices []string, text string) bool {
	for _, c := range choices {
		if c == text {
			return true
		}
	}
	return false
}
