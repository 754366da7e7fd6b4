// Package listener creates the HTTP servers of an instance, with the timeouts and limits that all of them share.
//
// Usage:
//
//	server := listener.New(khttp.Address("127.0.0.1:8080"))
//	server.HandlePrefix("/", handler)
//	err := server.Start(ctx)
package listener

import (
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout limits how long reading a request's headers may take.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the usual idle timeout of a load balancer, which should close the connection first.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's headers. It is twice the limit of the client API,
	// so that the API can refuse larger headers with a JSON response.
	maxHeaderBytes = 64 << 10
)

// New returns a kratos HTTP server without handlers. The request timeout of kratos is disabled, since a
// streamed response may take longer than any fixed time.
func New(options ...khttp.ServerOption) *khttp.Server {
	s := khttp.NewServer(append([]khttp.ServerOption{khttp.Timeout(0), khttp.StrictSlash(false)}, options...)...)
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	return s
}
