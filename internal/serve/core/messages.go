package core

// RequestMessage is a client's request as it is sent to a server. The core passes it on without
// reading it. It must not be modified: the attempts of a request share it.
type RequestMessage struct {
	Method         string
	Target         string // path and query
	ID             string // sent as X-Request-Id; "": no such field
	IdempotencyKey string // sent as Idempotency-Key, by which servers recognise a repeat; "": no such field
	ContentType    string // "": no such field
	Body           []byte
}

// ResponseMessage is a server's response with status 200. The core gets only the [piernotch.Status]
// of any other response.
type ResponseMessage struct {
	ContentType string // "": the server named none
	Body        []byte
}
