package http1

// The methods and statuses that this program speaks of.
const (
	MethodGet  = "GET"
	MethodHead = "HEAD"
	MethodPost = "POST"

	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusMethodNotAllowed   = 405
	StatusRequestTimeout     = 408
	StatusConflict           = 409
	StatusBodyTooLarge       = 413
	StatusFieldsTooLarge     = 431
	StatusNotImplemented     = 501
	StatusBadGateway         = 502
	StatusServiceUnavailable = 503
	StatusGatewayTimeout     = 504
	StatusVersion            = 505
)

var reasons = map[int]string{
	StatusOK: "OK", StatusBadRequest: "Bad Request", StatusNotFound: "Not Found",
	StatusMethodNotAllowed: "Method Not Allowed", StatusRequestTimeout: "Request Timeout", StatusConflict: "Conflict",
	StatusBodyTooLarge:   "Content Too Large",
	StatusFieldsTooLarge: "Request Header Fields Too Large", StatusNotImplemented: "Not Implemented",
	StatusBadGateway: "Bad Gateway", StatusServiceUnavailable: "Service Unavailable",
	StatusGatewayTimeout: "Gateway Timeout", StatusVersion: "HTTP Version Not Supported",
}
