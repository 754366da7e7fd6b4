package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults is the body of POST /faults. Omitted fields change nothing.
type Faults struct {
	Kill           bool    `json:"Kill,omitempty"` // Kill also breaks the connection of this request.
	Freeze         *bool   `json:"Freeze,omitempty"`
	Leave          bool    `json:"Leave,omitempty"`
	LoseAnswers    *int    `json:"LoseAnswers,omitempty"`
	Latency        *string `json:"Latency,omitempty"` // Latency is a Go duration.
	BytesPerSecond *int    `json:"BytesPerSecond,omitempty"`
}

// serveFaults also responds while the engine is frozen.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	link := s.currentLink()
	if f.Latency != nil {
		latency, err := time.ParseDuration(*f.Latency)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		link.Latency = latency
	}
	if f.BytesPerSecond != nil {
		link.BytesPerSecond = *f.BytesPerSecond
	}
	s.SetLink(link)
	s.apply(f)
}

func (s *Server) apply(f Faults) {
	if f.Freeze != nil {
		s.Freeze(*f.Freeze)
	}
	if f.LoseAnswers != nil {
		s.LoseAnswers(*f.LoseAnswers)
	}
	if f.Leave {
		s.Leave()
	}
	if f.Kill {
		s.Kill()
	}
}
