package caller

import (
	"net/http"
	"net/netip"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the usual idle timeout of a load balancer, which should close first.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds what is read of a request's headers. It lies above DefaultMaxHeader, whose
	// refusal is JSON.
	maxHeaderBytes = 64 << 10
)

// NewListener returns a kratos HTTP server that serves handler at address. The library's timeout is off, since
// answers are streamed for longer than any fixed time.
func NewListener(address netip.AddrPort, handler http.Handler) *khttp.Server {
	listener := khttp.NewServer(khttp.Address(address.String()), khttp.Timeout(0), khttp.StrictSlash(false))
	listener.HandlePrefix("/", handler)
	listener.ReadHeaderTimeout = headerTimeout
	listener.IdleTimeout = idleTimeout
	listener.MaxHeaderBytes = maxHeaderBytes
	return listener
}
