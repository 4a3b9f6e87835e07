package httpclient

import "net/http"

// Framing names what marks the end of a response's body.
type Framing string

// The framings of responses.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // the body ends with its connection
)

// Framing returns how the response's body is framed. The response to a HEAD request has none, whose
// length is known.
func (a *Answer) Framing() Framing {
	switch {
	case a.Request != nil && a.Request.Method == http.MethodHead:
		return FramedByLength
	case len(a.TransferEncoding) > 0:
		return FramedByChunks
	case a.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByConnection
}
