package verifier

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of a response.
const maxStatus = 599

// CheckHead returns an error if the head of a response is not valid.
func CheckHead(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// checkStatus returns an error for a status that no answer to a request has (RFC 9110,
// section 15). One below 100 must not pass for informational, since what follows it, or its
// body, would be taken for the answer.
func checkStatus(code int) error {
	if code < http.StatusContinue || code > maxStatus {
		return fmt.Errorf("response with status %03d", code)
	}
	if code == http.StatusSwitchingProtocols {
		return errors.New("response switches protocols without being asked to")
	}
	return nil
}

// checkNames returns an error if the name of a field is no token (RFC 9112, section 5.1). net/http
// keeps fields with blanks in their names, so that "Content-Length : 5" states no length.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("response with the field name %q", name)
		}
	}
	return nil
}
