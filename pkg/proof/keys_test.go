package proof_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/proof"
	"github.com/cuminroute/cuminroute/pkg/standin/caller"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
)

// Guards against a key that opens what belongs to another workspace or to operators, and against
// bad input that changes or runs anything.
func TestKeysAndBadInput(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 95, Instances: 2})
	ctx, m := context.Background(), w.Instances()[0]
	addPrivatePipeline(c, w, m)
	for _, trial := range []struct {
		name, key, pipeline string
		status              int
	}{
		{"Own", fleet.ClientKey(1), "private", http.StatusOK},
		{"OtherWorkspace", fleet.ClientKey(0), "private", http.StatusNotFound},
		{"UnknownKey", "no-such-key", fleet.Pipeline, http.StatusUnauthorized},
		{"OperatorAsCaller", fleet.OperatorKey, fleet.Pipeline, http.StatusUnauthorized},
		{"NoKey", "", fleet.Pipeline, http.StatusUnauthorized},
	} {
		a := w.Client.Chat(ctx, caller.ChatRequest{Address: m.ClientAddress(), Key: trial.key, Pipeline: trial.pipeline, Prompt: trial.name, Tokens: 2})
		c.Assert(a.Status, qt.Equals, trial.status, qt.Commentf("%s: %v", trial.name, a.Err))
		if trial.status != http.StatusOK {
			c.Assert(a.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(w.HasExecuted(trial.name), qt.IsFalse)
		}
	}
	assertKeysApart(c, w, m)
	assertOperatorsOnly(c, w, m)
	assertBadInput(c, w, m)
}

func addPrivatePipeline(c *qt.C, w *proof.Harness, m *fleet.NamedInstance) {
	current, err := w.Operator(m).Current(context.Background())
	c.Assert(err, qt.IsNil)
	changed := current.Configuration
	private := configuration.Pipeline{Name: "private", Model: fleet.Model}
	changed.Workspaces[1].Pipelines = append(changed.Workspaces[1].Pipelines, private)
	head, err := w.Operator(m).Apply(context.Background(), api.Change{Expected: current.Head.Version, ID: "private", Configuration: &changed})
	c.Assert(err, qt.IsNil)
	assertInForce(c, w, head.Version, time.Now())
}

// assertKeysApart asserts that an idempotency key of one workspace says nothing about another's.
func assertKeysApart(c *qt.C, w *proof.Harness, m *fleet.NamedInstance) {
	var texts []string
	for n := range 2 {
		a := w.Client.CallService(context.Background(), caller.ServiceRequest{
			Address: m.ClientAddress(), Key: fleet.ClientKey(n), Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: "same", Content: "kit",
		})
		c.Assert(a.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", a.Err))
		texts = append(texts, a.Text)
	}
	c.Assert(texts[0], qt.Not(qt.Equals), texts[1])
	c.Assert(w.Executed()["same"], qt.Equals, 2)
}

// assertOperatorsOnly asserts that a caller's key is refused at every operator request.
func assertOperatorsOnly(c *qt.C, w *proof.Harness, m *fleet.NamedInstance) {
	client := operator.NewClient("http://"+m.OperatorAddress().String(), fleet.ClientKey(0))
	ctx, version := context.Background(), m.Version()
	_, current := client.Current(ctx)
	_, state := client.State(ctx)
	_, history := client.History(ctx, 1)
	_, instances := client.Instances(ctx)
	_, drain := client.Drain(ctx, "w00", "test")
	_, apply := client.Apply(ctx, api.Change{Expected: version, ID: "by-caller", Configuration: fleet.Configuration()})
	_, rollback := client.Rollback(ctx, api.Rollback{To: 1, Expected: version, ID: "by-caller"})
	for _, err := range []error{current, state, history, instances, drain, apply, rollback} {
		var refused *api.Error
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(refused.Code, qt.Equals, api.Unauthorized)
	}
	newest, err := w.Operator(m).Current(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(newest.Head.Version, qt.Equals, version)
}

func assertBadInput(c *qt.C, w *proof.Harness, m *fleet.NamedInstance) {
	version := m.Version()
	bad := fleet.Configuration()
	bad.Workspaces[0].Pipelines[0].Model = "no-such-model"
	_, err := w.Operator(m).Apply(context.Background(), api.Change{Expected: version, ID: "bad", Configuration: bad})
	var refused *api.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, api.Invalid)
	c.Assert(refused.Findings, qt.Not(qt.HasLen), 0)
	for _, body := range []string{"", "{", `{"model":"stitch-guide"}`, `{"model":"stitch-guide","messages":[]}`} {
		status, answer := post(c, "http://"+m.ClientAddress().String()+"/v1/chat/completions", fleet.ClientKey(0), body)
		c.Assert(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s: %s", body, answer))
		c.Assert(strings.Contains(answer, `"Outcome":"NotRun"`), qt.IsTrue, qt.Commentf("%s", answer))
	}
	c.Assert(w.Chat(context.Background(), m, "after", 2).Outcome, qt.Equals, outcome.Done)
	c.Assert(m.Version(), qt.Equals, version)
}

func post(c *qt.C, url, key, body string) (int, string) {
	return send(c, http.MethodPost, url, key, body)
}

func send(c *qt.C, method, url, key, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(content)
}

// Guards against keys, their hashes or the content of requests in a state dump, the metrics or the log.
func TestNoSecretsInStateOrLog(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(c, proof.Options{Seed: 96, Instances: 1})
	m := w.Instances()[0]
	asked := make(chan caller.Response, 1)
	go func() { asked <- w.Chat(context.Background(), m, "private-question", 30) }()
	c.Assert(eventually(10*time.Second, func() bool { return w.HasExecuted("private-question") }), qt.IsTrue)
	c.Assert(w.PlaceOrder(context.Background(), m, "private-order").Outcome, qt.Equals, outcome.Done)
	base := "http://" + m.OperatorAddress().String()
	_, state := send(c, http.MethodGet, base+api.StatePath, fleet.OperatorKey, "")
	c.Assert(strings.Contains(state, `"Streams":1`), qt.IsTrue, qt.Commentf("%s", state))
	_, metrics := send(c, http.MethodGet, base+"/metrics", fleet.OperatorKey, "")
	c.Assert((<-asked).Outcome, qt.Equals, outcome.Done)
	logged := strings.Join(w.LogLines(), "")
	c.Assert(logged, qt.Not(qt.Equals), "")
	for _, secret := range []string{
		fleet.ClientKey(0), fleet.OperatorKey, configuration.HashKey(fleet.ClientKey(0)), configuration.HashKey(fleet.OperatorKey),
		"private-question", "kit",
	} {
		for place, text := range map[string]string{"state": state, "metrics": metrics, "log": logged} {
			c.Assert(strings.Contains(text, secret), qt.IsFalse, qt.Commentf("%q is in the %s", secret, place))
		}
	}
}
