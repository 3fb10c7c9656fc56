package http1

// The request methods in use.
const (
	MethodGet  = "GET"
	MethodPost = "POST"
)

// The response statuses in use, named as in RFC 9110.
const (
	StatusOK                          = 200
	StatusBadRequest                  = 400
	StatusNotFound                    = 404
	StatusMethodNotAllowed            = 405
	StatusRequestTimeout              = 408
	StatusConflict                    = 409
	StatusContentTooLarge             = 413
	StatusRequestHeaderFieldsTooLarge = 431
	StatusNotImplemented              = 501
	StatusBadGateway                  = 502
	StatusServiceUnavailable          = 503
	StatusGatewayTimeout              = 504
	StatusHTTPVersionNotSupported     = 505
)

var reasonPhrases = map[int]string{
	StatusOK:                          "OK",
	StatusBadRequest:                  "Bad Request",
	StatusNotFound:                    "Not Found",
	StatusMethodNotAllowed:            "Method Not Allowed",
	StatusRequestTimeout:              "Request Timeout",
	StatusConflict:                    "Conflict",
	StatusContentTooLarge:             "Content Too Large",
	StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusNotImplemented:              "Not Implemented",
	StatusBadGateway:                  "Bad Gateway",
	StatusServiceUnavailable:          "Service Unavailable",
	StatusGatewayTimeout:              "Gateway Timeout",
	StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}
