package proof

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// transactionsPath is the path of write requests to the table.
const transactionsPath = "/v1/transactions"

// Link is a proxy between one instance and the platform that can inject network faults.
type Link struct {
	platform string
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu              sync.Mutex
	partitioned     bool
	responsesToLose int
	holdNext        chan struct{}
	writeDone       chan struct{}
}

// newLink starts a proxy for the platform at the base URL.
func newLink(platform string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{platform: platform, listener: listener, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// URL returns the base URL at which the instance reaches the platform.
func (l *Link) URL() string { return "http://" + l.listener.Addr().String() }

// SetPartitioned aborts every request without forwarding it, until it is called with false.
func (l *Link) SetPartitioned(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = on
}

// LoseResponses forwards the next n writes and closes their connections instead of responding.
func (l *Link) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

// HoldResponse forwards the next write and withholds its response until the link closes. The returned channel is closed
// once the write has taken effect. All requests after that write are aborted.
func (l *Link) HoldResponse() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdNext, l.writeDone = make(chan struct{}), make(chan struct{})
	return l.writeDone
}

func (l *Link) close() {
	_ = l.server.Close()
	l.client.CloseIdleConnections()
}

// linkFault is the fault injected into a request.
type linkFault struct {
	partitioned, loseResponse bool
	hold, writeDone           chan struct{}
}

func (l *Link) nextFault(path string) linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := linkFault{partitioned: l.partitioned}
	if fault.partitioned || path != transactionsPath {
		return fault
	}
	if l.responsesToLose > 0 {
		l.responsesToLose--
		fault.loseResponse = true
	}
	if l.holdNext != nil {
		fault.hold, fault.writeDone = l.holdNext, l.writeDone
		l.holdNext, l.partitioned = nil, true
	}
	return fault
}

// ServeHTTP forwards a request unless a fault prevents it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := l.nextFault(r.URL.Path)
	if fault.partitioned {
		panic(http.ErrAbortHandler)
	}
	status, header, body, err := l.forward(r)
	if fault.hold != nil {
		close(fault.writeDone)
		<-r.Context().Done()
	}
	if err != nil || fault.loseResponse || fault.hold != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", header.Get("Content-Type"))
	if after := header.Get("Retry-After"); after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (l *Link) forward(r *http.Request) (int, http.Header, []byte, error) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil, nil, err
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, l.platform+r.RequestURI, bytes.NewReader(content))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range r.Header {
		if !strings.EqualFold(name, "Connection") {
			request.Header[name] = values
		}
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}
