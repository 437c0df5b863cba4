package driver

import (
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

const (
	// maxDuration bounds a run, so that a run left unattended ends.
	maxDuration = 10 * time.Minute
	// defaultTimeout bounds an attempt unless the scenario sets a timeout.
	defaultTimeout = 10 * time.Second
	// streamPrefix is the prefix of the names of stream sections.
	streamPrefix = "stream."
)

// Load reads a scenario from an INI file.
func Load(path string) (Scenario, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Scenario{}, errors.Annotate(err, "reading scenario")
	}
	section := file.Section("load")
	s := Scenario{
		Seed:         section.Key("seed").MustUint64(1),
		Duration:     section.Key("duration").MustDuration(10 * time.Second),
		Timeout:      section.Key("timeout").MustDuration(defaultTimeout),
		LateAfter:    section.Key("useful").MustDuration(0),
		TriggerStart: section.Key("from").MustDuration(0),
		TriggerEnd:   section.Key("to").MustDuration(0),
	}
	if s.Duration <= 0 || s.Duration > maxDuration {
		return Scenario{}, errors.NotValidf("[load] duration %v (up to %v)", s.Duration, maxDuration)
	}
	for _, streamSection := range file.Sections() {
		name, ok := strings.CutPrefix(streamSection.Name(), streamPrefix)
		if !ok {
			continue
		}
		stream, err := loadStream(name, streamSection)
		if err != nil {
			return Scenario{}, errors.Annotatef(err, "[%s]", streamSection.Name())
		}
		s.Streams = append(s.Streams, stream)
	}
	if len(s.Streams) == 0 {
		return Scenario{}, errors.NotValidf("scenario without [stream.NAME] sections")
	}
	return s, nil
}

func loadStream(name string, section *ini.Section) (Stream, error) {
	s := Stream{
		Name:        name,
		Rate:        section.Key("rate").MustFloat64(0),
		Targets:     section.Key("targets").Strings(","),
		Method:      section.Key("method").MustString("GET"),
		Path:        section.Key("path").MustString("/"),
		Key:         section.Key("key").String(),
		BodyBytes:   section.Key("body").MustInt(0),
		Idempotent:  section.Key("idempotent").MustBool(false),
		MaxRetries:  section.Key("resends").MustInt(0),
		SurgeFactor: section.Key("surge").MustFloat64(0),
		SurgeStart:  section.Key("from").MustDuration(0),
		SurgeEnd:    section.Key("to").MustDuration(0),
	}
	if s.Rate <= 0 {
		return s, errors.NotValidf("rate %v (must be positive)", s.Rate)
	}
	if len(s.Targets) == 0 {
		return s, errors.NotValidf("empty list of targets")
	}
	for _, target := range s.Targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil || !address.Addr().IsLoopback() {
			return s, errors.NotValidf("target %q (must be a loopback IP address and port)", target)
		}
	}
	return s, nil
}
