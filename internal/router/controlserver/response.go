package controlserver

import "cresshub/internal/http1"

// Text returns a plain text response with one line.
func Text(status int, line string) *http1.Response {
	return &http1.Response{
		Status: status, Header: http1.Header{{Name: "Content-Type", Value: "text/plain"}},
		Body: []byte(line + "\n"),
	}
}

// JSON returns a response with a JSON document as its body.
func JSON(status int, document []byte) *http1.Response {
	return &http1.Response{
		Status: status, Header: http1.Header{{Name: "Content-Type", Value: "application/json"}},
		Body: document,
	}
}

// closingText returns a response after which the connection is closed, because the rest of what arrives on it
// can't be interpreted.
func closingText(status int, reason string) *http1.Response {
	response := Text(status, reason)
	response.Close = true
	return response
}
