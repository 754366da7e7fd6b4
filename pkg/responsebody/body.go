// Package responsebody reads the bodies of responses that are kept in memory.
//
// Usage:
//
//	content, err := responsebody.Read(response.Body, maxResponseBytes)
package responsebody

import (
	"errors"
	"fmt"
	"io"
)

// errTooLong reports a body that is longer than its reader accepts.
var errTooLong = errors.New("the body is too long")

// Read reads a body to its end. It fails if the body has more than limit bytes: a part of it could look like a whole one.
func Read(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", errTooLong, limit)
	}
	return content, nil
}
