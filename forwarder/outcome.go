package forwarder

import (
	"quetzalhub/refuser"
	"quetzalhub/schema"
)

// callOutcome collects the results of the attempts of a call.
type callOutcome struct {
	// response is the latest response of an upstream. If more attempts follow,
	// it is a server error.
	response *Response
	// err is the refusal of the last attempt without a response.
	err error
	// mayHaveRun is true if an attempt without a response may have run.
	mayHaveRun bool
}

// setResponse stores a response and closes the body of an earlier one.
func (o *callOutcome) setResponse(resp *Response) {
	if o.response != nil {
		o.response.Body.Close()
	}
	o.response = resp
}

// addFailure records an attempt without a response.
func (o *callOutcome) addFailure(err error) {
	o.err = err
	if refuser.CodeOf(err).Info().Outcome != schema.Outcome_OUTCOME_NOT_RUN {
		o.mayHaveRun = true
	}
}

// addRefusal records why there is no further attempt, unless an earlier one has failed.
func (o *callOutcome) addRefusal(err error) {
	if o.err == nil {
		o.err = err
	}
}

// result returns the response of an upstream if there is one, else the refusal.
// The outcome of the refusal is "not run" only if no attempt has run.
func (o *callOutcome) result() (*Response, error) {
	switch {
	case o.response != nil:
		return o.response, nil
	case o.mayHaveRun && refuser.CodeOf(o.err).Info().Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		return nil, &refuser.Error{Code: refuser.UpstreamLost, Detail: refuser.Detail{Note: "An earlier attempt may have run."}}
	default:
		return nil, o.err
	}
}
