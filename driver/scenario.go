package driver

import (
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

const (
	// maxDuration bounds a run, so that it stops by itself.
	maxDuration = 10 * time.Minute
	// defaultTimeout bounds a request.
	defaultTimeout = 10 * time.Second
	// streamPrefix precedes the name of a stream in its section's name.
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
	for _, part := range file.Sections() {
		name, ok := strings.CutPrefix(part.Name(), streamPrefix)
		if !ok {
			continue
		}
		stream, err := loadStream(name, part)
		if err != nil {
			return Scenario{}, errors.Annotatef(err, "[%s]", part.Name())
		}
		s.Streams = append(s.Streams, stream)
	}
	if len(s.Streams) == 0 {
		return Scenario{}, errors.NotValidf("a scenario without streams")
	}
	return s, nil
}

func loadStream(name string, part *ini.Section) (Stream, error) {
	s := Stream{
		Name:        name,
		Rate:        part.Key("rate").MustFloat64(0),
		Targets:     part.Key("targets").Strings(","),
		Method:      part.Key("method").MustString("GET"),
		Path:        part.Key("path").MustString("/"),
		Key:         part.Key("key").String(),
		BodyBytes:   part.Key("body").MustInt(0),
		Idempotent:  part.Key("idempotent").MustBool(false),
		MaxRetries:  part.Key("resends").MustInt(0),
		SurgeFactor: part.Key("surge").MustFloat64(0),
		SurgeStart:  part.Key("from").MustDuration(0),
		SurgeEnd:    part.Key("to").MustDuration(0),
	}
	if s.Rate <= 0 {
		return s, errors.NotValidf("rate %v (must be positive)", s.Rate)
	}
	if len(s.Targets) == 0 {
		return s, errors.NotValidf("targets: none")
	}
	for _, target := range s.Targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil || !address.Addr().IsLoopback() {
			return s, errors.NotValidf("target %q (must be a loopback IP address and port)", target)
		}
	}
	return s, nil
}
