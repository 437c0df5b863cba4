package forwarder

import (
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// course is what the attempts of a call have come to so far.
type callOutcome struct {
	// answer is that of an upstream, a failure if more attempts follow.
	response *Response
	// err is the refusal of the last attempt without an answer.
	err error
	// ran is true if an attempt may have run.
	mayHaveRun bool
}

// take keeps an answer in place of an earlier one.
func (o *callOutcome) setResponse(resp *Response) {
	if o.response != nil {
		o.response.Body.Close()
	}
	o.response = resp
}

// fail notes an attempt without an answer.
func (o *callOutcome) addFailure(err error) {
	o.err = err
	if refuser.Of(err).Meaning().Outcome != schema.Outcome_OUTCOME_NOT_RUN {
		o.mayHaveRun = true
	}
}

// end returns the answer of an upstream if there is one, else the refusal. It
// says "not run" only if that is true of every attempt.
func (o *callOutcome) result() (*Response, error) {
	switch {
	case o.response != nil:
		return o.response, nil
	case o.err == nil:
		return nil, &refuser.Error{Code: refuser.EndpointMissing}
	case o.mayHaveRun && refuser.Of(o.err).Meaning().Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		return nil, &refuser.Error{Code: refuser.UpstreamLost, Detail: refuser.Detail{Note: "An earlier attempt may have run."}}
	default:
		return nil, o.err
	}
}
