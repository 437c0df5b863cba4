package parser

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"
	"golang.org/x/text/encoding/charmap"
	"golang.org/x/text/encoding/unicode"
)

// decode converts an export to UTF-8 and its line breaks to "\n".
func decode(data []byte) (string, error) {
	text, err := decodeBytes(data)
	if err != nil {
		return "", errors.Annotate(err, "cannot decode the file")
	}
	if strings.ContainsRune(text, 0) {
		return "", errors.New("the file is not a text export")
	}
	text = strings.ReplaceAll(text, "\r\n", "\n")
	return strings.ReplaceAll(text, "\r", "\n"), nil
}

func decodeBytes(data []byte) (string, error) {
	switch {
	case bytes.HasPrefix(data, []byte("\xff\xfe")), bytes.HasPrefix(data, []byte("\xfe\xff")):
		decoded, err := unicode.UTF16(unicode.LittleEndian, unicode.ExpectBOM).NewDecoder().Bytes(data)
		return string(decoded), err
	case utf8.Valid(data):
		return strings.TrimPrefix(string(data), "\ufeff"), nil
	default:
		decoded, err := charmap.Windows1252.NewDecoder().Bytes(data)
		return string(decoded), err
	}
}
