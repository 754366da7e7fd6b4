package instance

import (
	"io"
	"sync"
	"time"
)

// relayQuietTime is how long a relayed connection whose target has responded may pause within the response.
const relayQuietTime = 500 * time.Millisecond

// relayActivity is what was last forwarded on a relayed connection.
type relayActivity struct {
	mu       sync.Mutex
	awaiting bool // awaiting means that the last bytes went to the target, whose response is due.
	lastAt   time.Time
}

func (a *relayActivity) record(awaiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaiting, a.lastAt = awaiting, time.Now()
}

func (a *relayActivity) inUse(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.awaiting || now.Sub(a.lastAt) < relayQuietTime
}

// toTarget returns a reader of the bytes that are to be forwarded to the target, and fromTarget one of those that come from it.
// Neither has other methods, so that a copy uses its own buffer.
func (a *relayActivity) toTarget(peer io.Reader) io.Reader {
	return recordingReader{reader: peer, activity: a, awaiting: true}
}

func (a *relayActivity) fromTarget(target io.Reader) io.Reader {
	return recordingReader{reader: target, activity: a}
}

// recordingReader records what it reads as the last activity.
type recordingReader struct {
	reader   io.Reader
	activity *relayActivity
	awaiting bool
}

// Read implements io.Reader.
func (r recordingReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.activity.record(r.awaiting)
	}
	return n, err
}

// relayActivities holds the activity of each relayed connection. Its zero value is empty.
type relayActivities struct {
	mu         sync.Mutex
	activities map[*relayActivity]struct{}
}

// add adds a connection, on which a request is about to come.
func (r *relayActivities) add() *relayActivity {
	a := &relayActivity{lastAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activities == nil {
		r.activities = make(map[*relayActivity]struct{})
	}
	r.activities[a] = struct{}{}
	return a
}

func (r *relayActivities) remove(a *relayActivity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.activities, a)
}

// inUse returns the number of connections that are in use.
func (r *relayActivities) inUse(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for a := range r.activities {
		if a.inUse(now) {
			n++
		}
	}
	return n
}
