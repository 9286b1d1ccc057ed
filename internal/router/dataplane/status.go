package dataplane

// Statuses of responses, under the names of package net/http, which the program does not link.
const (
	statusOK                    = 200
	statusBadRequest            = 400
	statusNotFound              = 404
	statusRequestTimeout        = 408
	statusRequestEntityTooLarge = 413
	statusMisdirectedRequest    = 421 // another incarnation than the expected one has the address
	statusTooManyRequests       = 429
	statusInternalServerError   = 500 // the first of those of a server's own errors
	statusBadGateway            = 502
	statusServiceUnavailable    = 503 // the request has not run and never will
	statusGatewayTimeout        = 504
)

func isSuccess(status int) bool { return status/100 == 2 }
