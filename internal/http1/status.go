package http1

// The status codes that this package, the proxies and the routers send or distinguish (RFC 9110, section 15;
// RFC 6585). They have the names of net/http, but are defined here so that a program that speaks HTTP through
// this package need not link net/http.
const (
	StatusContinue           = 100
	StatusSwitchingProtocols = 101

	StatusOK        = 200
	StatusNoContent = 204

	StatusNotModified       = 304
	StatusTemporaryRedirect = 307

	StatusBadRequest                  = 400
	StatusNotFound                    = 404
	StatusMethodNotAllowed            = 405
	StatusRequestTimeout              = 408
	StatusConflict                    = 409
	StatusPreconditionFailed          = 412
	StatusRequestEntityTooLarge       = 413
	StatusExpectationFailed           = 417
	StatusMisdirectedRequest          = 421
	StatusTooManyRequests             = 429
	StatusRequestHeaderFieldsTooLarge = 431

	StatusInternalServerError     = 500
	StatusNotImplemented          = 501
	StatusBadGateway              = 502
	StatusServiceUnavailable      = 503
	StatusGatewayTimeout          = 504
	StatusHTTPVersionNotSupported = 505
)

// reasonPhrases holds the reason phrases of status lines. A code that it lacks is written without one.
var reasonPhrases = map[int]string{
	StatusContinue:                    "Continue",
	StatusOK:                          "OK",
	StatusNoContent:                   "No Content",
	StatusNotModified:                 "Not Modified",
	StatusBadRequest:                  "Bad Request",
	StatusNotFound:                    "Not Found",
	StatusMethodNotAllowed:            "Method Not Allowed",
	StatusRequestTimeout:              "Request Timeout",
	StatusConflict:                    "Conflict",
	StatusRequestEntityTooLarge:       "Content Too Large",
	StatusExpectationFailed:           "Expectation Failed",
	StatusMisdirectedRequest:          "Misdirected Request",
	StatusTooManyRequests:             "Too Many Requests",
	StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:         "Internal Server Error",
	StatusNotImplemented:              "Not Implemented",
	StatusBadGateway:                  "Bad Gateway",
	StatusServiceUnavailable:          "Service Unavailable",
	StatusGatewayTimeout:              "Gateway Timeout",
	StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}
