// Package requestbody reads the bodies of clients' requests within a budget for all of them together.
//
// A body counts while it is read and until its request has ended. The buffer for it grows with the bytes that arrive, so that a client
// cannot take room by declaring a length.
//
// Usage:
//
//	reader := requestbody.New(budget)
//	body, err := reader.Read(w, r, limit, deadline)
//	defer body.Release()
package requestbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cuminroute/cuminroute/pkg/decision/bytebudget"
)

const (
	// MaxReadTime bounds the time to read a body.
	MaxReadTime = 30 * time.Second
	// NoRoomRetryAfter is the Retry-After of a request for whose body there is no room. It is short because other instances have room of
	// their own.
	NoRoomRetryAfter = 500 * time.Millisecond
	// firstBuffer is the size in bytes of the first buffer of a body.
	firstBuffer = 4 << 10
)

var (
	// ErrNoRoom reports that the budget has no room for the body.
	ErrNoRoom = errors.New("the bodies of other requests take up the memory for bodies")
	// ErrTimeout reports that the body did not end in time.
	ErrTimeout = errors.New("the body did not end in time")
)

// expired is a read deadline in the past.
var expired = time.Unix(1, 0)

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	budget *bytebudget.Budget
}

// New returns a reader whose bodies count in a budget.
func New(budget *bytebudget.Budget) *Reader {
	return &Reader{budget: budget}
}

// Body is a body that was read as a whole.
type Body struct {
	Bytes []byte
	hold  *bytebudget.Hold
}

// Release ends the counting of the body. It may be called on a nil body.
func (b *Body) Release() {
	if b != nil && b.hold != nil {
		b.hold.Release()
	}
}

// Read reads the body of a request of at most limit bytes until the deadline, if that is not zero. Its error is an
// *http.MaxBytesError, ErrNoRoom, ErrTimeout, or the error of the connection. The response to a request whose body was not read as a
// whole should close the connection.
func (rd *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{}, nil
	}
	now := time.Now()
	until := now.Add(MaxReadTime)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(until) // Only response writers of tests lack deadlines.
	hold := rd.budget.Begin(now, func() { _ = control.SetReadDeadline(expired) })
	content, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, hold)
	if !hold.Complete() {
		err = ErrNoRoom
	}
	if err != nil {
		hold.Release()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrTimeout
		}
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return &Body{Bytes: content, hold: hold}, nil
}

// readAll reads to the end. The buffer doubles when it is full, up to the declared length, which is negative if it is unknown.
func readAll(r io.Reader, declared, limit int64, hold *bytebudget.Hold) ([]byte, error) {
	most := limit + 1 // One byte more, so that the limit of the reader shows.
	if declared >= 0 {
		most = min(most, declared+1) // One byte more, so that the end of the body is read into a buffer.
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			grown, err := grow(content, most, hold)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		n, err := r.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of content in a larger buffer of at most most bytes.
func grow(content []byte, most int64, hold *bytebudget.Hold) ([]byte, error) {
	size := min(max(2*int64(cap(content)), firstBuffer), max(most, int64(cap(content))+1))
	if !hold.Grow(size, time.Now()) {
		return nil, ErrNoRoom
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	hold.Shrink(int64(cap(content)))
	return grown, nil
}
