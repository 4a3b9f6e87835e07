package daemon

import (
	"net"
	"net/http"
)

// CutOff ends the connection of a response that is incomplete, so that the caller does not take it for
// complete. It must be called last in a handler, and may panic with http.ErrAbortHandler. To HTTP/1.0 a response
// without length goes without chunks and ends with its connection, so that only a reset shows that it is
// incomplete.
func CutOff(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) && w.Header().Get("Content-Length") == "" {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			socket := conn
			if tracked, ok := conn.(*trackedConn); ok {
				socket = tracked.Conn
			}
			if tcp, ok := socket.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // fails only on a connection that is already closed
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler) // closes the connection in the middle of the body
}
