package core

// RequestMessage is what a client has requested, as it is sent to a server. The core passes it on
// unread. It is not modified, so that several attempts of one request may share it.
type RequestMessage struct {
	Method         string
	Target         string // path and query
	ID             string // sent as X-Request-Id; "": no such field
	IdempotencyKey string // sent as Idempotency-Key, by which servers recognise a repeat; "": no such field
	ContentType    string // "": no such field
	Body           []byte
}

// ResponseMessage is a server's response with status 200. Any other response is only a
// [piernotch.Status] to the core.
type ResponseMessage struct {
	ContentType string // "": the server named none
	Body        []byte
}
