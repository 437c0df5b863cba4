package parser

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

var (
	plainNumber  = regexp.MustCompile(`^\d+([.,]\d+)?$`)
	spaceGrouped = regexp.MustCompile(`^\d{1,3}( \d{3})+([.,]\d+)?$`)
	dotGrouped   = regexp.MustCompile(`^\d{1,3}(\.\d{3})+,\d+$`)
	commaGrouped = regexp.MustCompile(`^\d{1,3}(,\d{3})+\.\d+$`)
	ambiguous    = regexp.MustCompile(`^[1-9]\d{0,2}[.,]\d{3}$`)
)

// parseNumber parses a number with a decimal point or comma and optional thousands
// separators. A number such as 1.200 is rejected: it means 1200 in some countries and
// 1.2 in others.
func parseNumber(text string) (float64, error) {
	switch {
	case text == "":
		return 0, errors.New("empty; a number is required")
	case ambiguous.MatchString(text):
		return 0, errors.Errorf("%q is ambiguous; write it without a thousands separator, or with two decimals", text)
	case plainNumber.MatchString(text), spaceGrouped.MatchString(text):
		text = strings.ReplaceAll(strings.ReplaceAll(text, " ", ""), ",", ".")
	case dotGrouped.MatchString(text):
		text = strings.ReplaceAll(strings.ReplaceAll(text, ".", ""), ",", ".")
	case commaGrouped.MatchString(text):
		text = strings.ReplaceAll(text, ",", "")
	default:
		return 0, errors.Errorf("%q is not a number", text)
	}
	return strconv.ParseFloat(text, 64)
}
