// Package listener makes the HTTP servers of an entry instance, with the bounds that all of them share.
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
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the usual idle timeout of a load balancer, which should close first.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds what is read of a request's headers. It is twice what the callers' API
	// accepts, so that its refusal can be written as JSON.
	maxHeaderBytes = 64 << 10
)

// New returns a kratos HTTP server without handlers. The library's timeout is off, since answers are
// streamed for longer than any fixed time.
func New(options ...khttp.ServerOption) *khttp.Server {
	s := khttp.NewServer(append([]khttp.ServerOption{khttp.Timeout(0), khttp.StrictSlash(false)}, options...)...)
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	return s
}
