package http1

import "strconv"

// AppendRequest appends a complete request to dst and returns the result. It adds Content-Length,
// except to a GET without a body; fields must include Host. Nothing is validated or escaped: values
// must not contain CR or LF.
func AppendRequest(dst []byte, method, target string, fields Fields, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendFields(dst, fields)
	if len(body) > 0 || method != MethodGet {
		dst = appendContentLength(dst, len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendResponse appends a complete response to dst and returns the result. It adds Content-Length.
// Nothing is validated or escaped: values must not contain CR or LF. The reason phrase is empty for
// a status without a constant in this package.
func AppendResponse(dst []byte, status int, fields Fields, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[status]...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, fields)
	dst = appendContentLength(dst, len(body))
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

func appendContentLength(dst []byte, length int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(length), 10)
	return append(dst, "\r\n"...)
}

func appendFields(dst []byte, fields Fields) []byte {
	for _, field := range fields {
		dst = append(dst, field.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, field.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}
