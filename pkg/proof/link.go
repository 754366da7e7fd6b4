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

// transactions is the path at which the table takes writes.
const transactions = "/v1/transactions"

// Link is the network path between one entry instance and the platform.
type Link struct {
	platform string
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu   sync.Mutex
	cut  bool
	lose int
	hold chan struct{}
	kept chan struct{}
}

// newLink starts a path to the platform at the base URL.
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

// URL returns the base URL at which the instance finds the platform.
func (l *Link) URL() string { return "http://" + l.listener.Addr().String() }

// SetPartitioned breaks every request without passing it on, until it is called with false.
func (l *Link) SetPartitioned(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
}

// LoseResponses passes the next n writes on and breaks the connection instead of answering.
func (l *Link) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// HoldResponse passes the next write on and keeps its answer back until the link closes. The channel
// is closed once the write has taken effect. Everything after that write is cut.
func (l *Link) HoldResponse() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold, l.kept = make(chan struct{}), make(chan struct{})
	return l.kept
}

func (l *Link) close() {
	_ = l.server.Close()
	l.client.CloseIdleConnections()
}

// fate is what becomes of one request.
type fate struct {
	cut, lose  bool
	hold, kept chan struct{}
}

func (l *Link) draw(path string) fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := fate{cut: l.cut}
	if f.cut || path != transactions {
		return f
	}
	if l.lose > 0 {
		l.lose--
		f.lose = true
	}
	if l.hold != nil {
		f.hold, f.kept = l.hold, l.kept
		l.hold, l.cut = nil, true
	}
	return f
}

// ServeHTTP passes a request on, as far as the link lets it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := l.draw(r.URL.Path)
	if f.cut {
		panic(http.ErrAbortHandler)
	}
	status, header, body, err := l.forward(r)
	if f.hold != nil {
		close(f.kept)
		<-r.Context().Done()
	}
	if err != nil || f.lose || f.hold != nil {
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
