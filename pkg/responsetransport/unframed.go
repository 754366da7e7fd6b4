package responsetransport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// unframedBody is a body without a length. The connections of a process that is killed end in order, so the end counts only if the
// process still accepts a connection.
type unframedBody struct {
	io.ReadCloser
	accepts func() error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if refused := b.accepts(); refused != nil {
			// A wrapped error would say that the request was not sent.
			return n, fmt.Errorf("the body has no length, and the process that sent it may have ended: %v", refused)
		}
	}
	return n, err
}

// isUnframed reports whether a body has no length, so that it ends with its connection. HTTP/2 frames every body.
func isUnframed(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed
}

// acceptance returns a function that opens a connection to an address and closes it.
func acceptance(ctx context.Context, dial dialFunc, address net.Addr) func() error {
	return func() error {
		c, err := dial(ctx, address.Network(), address.String())
		if err != nil {
			return err
		}
		return c.Close()
	}
}
