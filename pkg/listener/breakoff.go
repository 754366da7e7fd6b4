package listener

import "net/http"

// BreakOff ends a response early, in a way that the client can tell from its end. It panics with http.ErrAbortHandler, which leaves
// out the last chunk or a part of the length. A response to a client of HTTP/1.0 may have neither, so its connection is reset.
func BreakOff(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of a response.
func resetConn(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // Only response writers of tests and of HTTP/2 have no connection.
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
