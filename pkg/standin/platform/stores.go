package platform

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cuminroute/cuminroute/pkg/peer/instancelist"
)

// objectStore serves PUT, GET and DELETE below /objects/.
type objectStore struct {
	mu      sync.Mutex
	objects map[string][]byte
}

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/objects/")
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[name]
	switch {
	case r.Method == http.MethodPut && exists && r.Header.Get("If-None-Match") == "*":
		http.Error(w, "the object exists", http.StatusPreconditionFailed)
	case r.Method == http.MethodPut:
		s.objects[name] = content
		w.WriteHeader(http.StatusCreated)
	case r.Method == http.MethodDelete:
		delete(s.objects, name)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && exists:
		_, _ = w.Write(found)
	default:
		http.Error(w, "no such object", http.StatusNotFound)
	}
}

// instanceStore keeps old versions of the instance list, which clients see during the lag.
type instanceStore struct {
	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at   time.Time
	list []instancelist.Instance
}

// maxListVersions bounds the versions in memory; a lag covers at most this many changes.
const maxListVersions = 1000

func (s *instanceStore) set(list []instancelist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{at: time.Now(), list: list})
	s.versions = s.versions[max(0, len(s.versions)-maxListVersions):]
}

func (s *instanceStore) get(lag time.Duration) []instancelist.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := []instancelist.Instance{}
	for _, v := range s.versions {
		if time.Since(v.at) >= lag {
			visible = v.list
		}
	}
	return visible
}

// weightSize is the size of a layer in the weight store, in bytes.
const weightSize = 64 << 10

// serveWeights serves layers whose content is derived from their path, so that a client can verify it.
func serveWeights(w http.ResponseWriter, r *http.Request) {
	sum := sha256.Sum256([]byte(r.URL.Path))
	_, _ = w.Write(bytes.Repeat(sum[:], weightSize/len(sum)))
}
