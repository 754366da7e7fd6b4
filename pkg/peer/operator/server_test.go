package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

const key = "operator-key"

// fakeLog is an in-memory configuration log of full configurations.
type fakeLog struct {
	operator.ConfigLog // The embedded nil interface panics on calls that a test does not expect.

	current api.Current
	changes []api.Change
	fail    error
}

func (l *fakeLog) Current(context.Context) (api.Current, error) { return l.current, l.fail }

func (l *fakeLog) Preview(_ context.Context, change api.Change) (uint64, *configuration.Configuration, error) {
	return l.current.Head.Version, change.Configuration, l.fail
}

func (l *fakeLog) History(_ context.Context, limit int) ([]api.Change, error) {
	return l.changes[:min(limit, len(l.changes))], l.fail
}

func (l *fakeLog) Apply(_ context.Context, change api.Change) (api.Head, error) {
	for _, made := range l.changes {
		if made.ID == change.ID {
			return api.Head{Version: made.Version, ID: made.ID, By: made.By}, nil
		}
		if made.Version == change.Expected+1 {
			return api.Head{}, &operator.ConflictError{ConflictingChange: made}
		}
	}
	change.Version = change.Expected + 1
	l.changes = append([]api.Change{change}, l.changes...)
	l.current.Head = api.Head{Version: change.Version, ID: change.ID, By: change.By}
	return l.current.Head, nil
}

type drains interface{ operator.Drainer }

type fakeDrains struct{ drains }

func (fakeDrains) Undrain(context.Context, string) error { return operator.ErrNotFound }

func serve(t *testing.T, log operator.ConfigLog) (*httptest.Server, *operator.Client) {
	operators := operator.AuthenticatorFunc(func(k string) (string, bool) { return "mara", k == key })
	server := httptest.NewServer(operator.NewServer(log, nil, fakeDrains{}, operators, operator.WithBodyLimit(4096)))
	t.Cleanup(server.Close)
	return server, operator.NewClient(server.URL, key, operator.WithRetryDelay(time.Millisecond))
}

func valid() *configuration.Configuration {
	operators := []configuration.Key{{Name: "mara", Hash: configuration.HashKey(key)}}
	return &configuration.Configuration{HeadOffice: configuration.HeadOffice{Fleet: "Test", TimeZone: "UTC", Operators: operators}}
}

// TestRefusals guards against an unauthorized or malformed request that changes the configuration, and against a
// refusal with the wrong status or code.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, key, body string
		status                        int
		code                          api.Code
	}{
		{"no key", "GET", api.StatePath, "", "", 401, api.Unauthorized},
		{"wrong key", "PUT", api.ConfigurationPath, "other", "{}", 401, api.Unauthorized},
		{"unknown path", "GET", api.Prefix + "Nothing", key, "", 404, api.NotFound},
		{"wrong method", "DELETE", api.ConfigurationPath, key, "", 404, api.NotFound},
		{"not JSON", "PUT", api.ConfigurationPath, key, "Fleet: x", 400, api.Malformed},
		{"unknown field", "PUT", api.ConfigurationPath, key, `{"Expect":1}`, 400, api.Malformed},
		{"two values", "PUT", api.ConfigurationPath, key, `{"ID":"a","Documents":[{"Name":"HeadOffice"}]} {}`, 400, api.Malformed},
		{"no ID", "PUT", api.ConfigurationPath, key, `{"Documents":[{"Name":"HeadOffice"}]}`, 400, api.Malformed},
		{"nothing to change", "PUT", api.ConfigurationPath, key, `{"ID":"a"}`, 400, api.Malformed},
		{"version ahead", "PUT", api.ConfigurationPath, key, `{"ID":"a","Expected":9,"Configuration":{}}`, 400, api.Malformed},
		{"findings", "PUT", api.ConfigurationPath, key, `{"ID":"a","Configuration":{}}`, 422, api.Invalid},
		{"too large", "PUT", api.ConfigurationPath, key, `{"ID":"` + strings.Repeat("a", 5000) + `"}`, 413, api.TooLarge},
		{"history limit", "GET", api.HistoryPath + "?limit=0", key, "", 400, api.Malformed},
		{"rollback without a version", "POST", api.RollbackPath, key, `{"ID":"a"}`, 400, api.Malformed},
		{"drain without a target", "POST", api.DrainPath, key, `{}`, 400, api.Malformed},
		{"undrain of an unknown target", "DELETE", api.DrainPath + "?target=w1", key, "", 404, api.NotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := &fakeLog{}
			server, _ := serve(t, log)
			request, err := http.NewRequest(test.method, server.URL+test.path, strings.NewReader(test.body))
			qt.Assert(t, err, qt.IsNil)
			request.Header.Set("Authorization", "Bearer "+test.key)
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.Body.Close(), qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			qt.Assert(t, string(body), qt.Contains, `"Code":"`+string(test.code)+`"`)
			qt.Assert(t, log.changes, qt.HasLen, 0)
		})
	}
}

// TestBackendErrors guards against an outage or an unknown outcome that is reported as an internal error.
func TestBackendErrors(t *testing.T) {
	for err, code := range map[error]api.Code{
		operator.ErrUnavailable: api.Unavailable, operator.ErrUnknown: api.Unknown,
		operator.ErrNotFound: api.NotFound, errors.New("other"): api.Internal,
	} {
		_, client := serve(t, &fakeLog{fail: err})
		_, got := client.Current(t.Context())
		var refusal *api.Error
		qt.Assert(t, errors.As(got, &refusal), qt.IsTrue)
		qt.Assert(t, refusal.Code, qt.Equals, code)
	}
}

// TestConflict guards against a second operator's change that silently overwrites the first one.
func TestConflict(t *testing.T) {
	log := &fakeLog{}
	_, client := serve(t, log)
	head, err := client.Apply(t.Context(), api.Change{ID: "first", By: "somebody else", Configuration: valid()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, head, qt.Equals, api.Head{Version: 1, ID: "first", By: "mara"})
	_, err = client.Apply(t.Context(), api.Change{ID: "second", Configuration: valid()})
	var refusal *api.Error
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, refusal.Code, qt.Equals, api.Conflict)
	qt.Assert(t, refusal.Conflict.ID, qt.Equals, "first")
	qt.Assert(t, log.changes, qt.HasLen, 1)
}

// TestLostResponse guards against a change that is applied twice, or reported as failed, because its response was
// lost.
func TestLostResponse(t *testing.T) {
	log := &fakeLog{}
	attempts := 0
	operators := operator.AuthenticatorFunc(func(string) (string, bool) { return "mara", true })
	inner := operator.NewServer(log, nil, nil, operators)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts <= 2 {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := operator.NewClient(server.URL, key, operator.WithRetryDelay(time.Millisecond))
	head, err := client.Apply(t.Context(), api.Change{ID: "once", Configuration: valid()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, head.Version, qt.Equals, uint64(1))
	qt.Assert(t, log.changes, qt.HasLen, 1)
}

// TestConnectionRefused guards against reporting an unknown outcome although no instance was reached.
func TestConnectionRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := operator.NewClient(server.URL, key).Apply(t.Context(), api.Change{ID: "a"})
	var refusal *api.Error
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, refusal.Code, qt.Equals, api.Unavailable)
}
