package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/phuslu/log"

	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		log.Warn().Err(err).Msg("failed to send a response to an operator")
	}
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	refusal := toAPIError(err)
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeJSON(w, refusal.Status, refusal)
}

// toAPIError converts an error of a handler or a backend to the body of a refusal.
func toAPIError(err error) *api.Error {
	var refusal *api.Error
	var conflict *ConflictError
	var invalid *finding.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &conflict):
		return &api.Error{Status: http.StatusConflict, Code: api.Conflict, Message: err.Error(), Conflict: &conflict.ConflictingChange}
	case errors.As(err, &invalid):
		return &api.Error{
			Status: http.StatusUnprocessableEntity, Code: api.Invalid,
			Message: fmt.Sprintf("%d findings; nothing was changed", len(invalid.Findings)), Findings: invalid.Findings,
		}
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body exceeds %d bytes; nothing was changed", tooLarge.Limit)
		return &api.Error{Status: http.StatusRequestEntityTooLarge, Code: api.TooLarge, Message: message}
	case errors.Is(err, ErrNotFound):
		return &api.Error{Status: http.StatusNotFound, Code: api.NotFound, Message: err.Error()}
	case errors.Is(err, ErrUnavailable):
		return &api.Error{Status: http.StatusServiceUnavailable, Code: api.Unavailable, Message: err.Error()}
	case errors.Is(err, ErrUnknown):
		return &api.Error{Status: http.StatusGatewayTimeout, Code: api.Unknown, Message: err.Error()}
	default:
		log.Error().Err(err).Msg("operator request failed")
		return &api.Error{Status: http.StatusInternalServerError, Code: api.Internal, Message: err.Error()}
	}
}

func notFound(message string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.NotFound, Message: message}
}

func unauthorized() *api.Error {
	return &api.Error{Status: http.StatusUnauthorized, Code: api.Unauthorized, Message: "the request needs the key of an operator"}
}

func malformed(format string, args ...any) *api.Error {
	return &api.Error{Status: http.StatusBadRequest, Code: api.Malformed, Message: fmt.Sprintf(format, args...)}
}

func bearerToken(r *http.Request) (string, bool) {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	return key, found && strings.EqualFold(scheme, "Bearer") && key != ""
}

// decodeBody decodes a JSON body. It rejects unknown fields, since they are more likely mistakes than fields of a
// newer client.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	if err != nil {
		return malformed("the body is not the expected JSON: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return malformed("the body holds more than one JSON value")
	}
	return nil
}
