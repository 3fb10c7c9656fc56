package piernotch

import "piernotch/internal/decision/classfailure"

// recordClassOutcome updates the failure share of the request's class on the server.
func recordClassOutcome(request *openRequest, ended *attempt, outcome Outcome) {
	ended.server.classFailures.RecordAttempt(request.Class, classfailure.Attempt{
		Result: classResult(outcome.Status), Latency: outcome.Latency,
		Objective:        request.class.LatencyObjective,
		RespondsToOthers: ended.server.lastResponseAt >= ended.sentAt,
	})
}

// classResult returns what the status of an attempt shows about the class on the server:
// classfailure.Other if the status shows nothing.
func classResult(status Status) classfailure.Result {
	switch status {
	case OK:
		return classfailure.GoodResponse
	case Error:
		return classfailure.ErrorResponse
	case Timeout:
		return classfailure.TimedOut
	case Cancelled:
		return classfailure.Cancelled
	}
	return classfailure.Other
}
