// Package responsebody reads the bodies of responses that are kept in memory.
//
// Usage:
//
//	content, err := responsebody.Read(response.Body, maxResponseBytes)
package responsebody

import (
	"fmt"
	"io"
)

// Read reads a body to its end. It fails if the body has more than limit bytes: a part of it could look like a whole one.
func Read(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("the body is too long: more than %d bytes", limit)
	}
	return content, nil
}
