package forwarder

import (
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// course is what the attempts of a call have come to so far.
type course struct {
	// answer is that of an upstream, a failure if more attempts follow.
	answer *Response
	// err is the refusal of the last attempt without an answer.
	err error
	// ran is true if an attempt may have run.
	ran bool
}

// take keeps an answer in place of an earlier one.
func (c *course) take(a *Response) {
	if c.answer != nil {
		c.answer.Body.Close()
	}
	c.answer = a
}

// fail notes an attempt without an answer.
func (c *course) fail(err error) {
	c.err = err
	if refuser.Of(err).Meaning().Outcome != schema.Outcome_OUTCOME_NOT_RUN {
		c.ran = true
	}
}

// end returns the answer of an upstream if there is one, else the refusal. It
// says "not run" only if that is true of every attempt.
func (c *course) end() (*Response, error) {
	switch {
	case c.answer != nil:
		return c.answer, nil
	case c.err == nil:
		return nil, &refuser.Error{Code: refuser.EndpointMissing}
	case c.ran && refuser.Of(c.err).Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		return nil, &refuser.Error{Code: refuser.UpstreamLost, Detail: refuser.Detail{Note: "An earlier attempt may have run."}}
	default:
		return nil, c.err
	}
}
