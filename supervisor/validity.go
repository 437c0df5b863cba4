package supervisor

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// maxIDBytes is the largest length of an instance ID. A beacon with the largest number of
// remarks must fit into a datagram.
const maxIDBytes = 256

// ValidateID returns an error if no instance can have the given ID. IDs are sent to other
// nodes as text and to the upstream in a header, but come from reports and health checks,
// which may hold any bytes.
func ValidateID(id string) error {
	switch {
	case id == "":
		return errors.New("the ID is empty")
	case len(id) > maxIDBytes:
		return errors.Errorf("the ID has %d bytes, at most %d are allowed", len(id), maxIDBytes)
	case !utf8.ValidString(id):
		return errors.New("the ID is not valid UTF-8")
	case strings.ContainsFunc(id, unicode.IsControl):
		return errors.New("the ID has control characters")
	default:
		return nil
	}
}

// isValidID reports whether an instance can have the given ID. It logs an ID that none can
// have, with what stated it.
func (s *Supervisor) isValidID(id, source string) bool {
	err := ValidateID(id)
	if err != nil {
		s.options.Reporter.Event("instance_unreadable", "source", source, "upstream", id[:min(len(id), maxIDBytes)], "err", err)
	}
	return err == nil
}
