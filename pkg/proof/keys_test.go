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

// Guards against a key that grants access to another workspace or to the operator API, and against invalid input that
// changes the configuration or is executed.
func TestKeysAndBadInput(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 95, Instances: 2})
	ctx, instance := context.Background(), h.Instances()[0]
	addPrivatePipeline(c, h, instance)
	for _, test := range []struct {
		name, key, pipeline string
		status              int
	}{
		{"Own", fleet.ClientKey(1), "private", http.StatusOK},
		{"OtherWorkspace", fleet.ClientKey(0), "private", http.StatusNotFound},
		{"UnknownKey", "no-such-key", fleet.Pipeline, http.StatusUnauthorized},
		{"OperatorAsClient", fleet.OperatorKey, fleet.Pipeline, http.StatusUnauthorized},
		{"NoKey", "", fleet.Pipeline, http.StatusUnauthorized},
	} {
		response := h.Client.Chat(ctx, caller.ChatRequest{Address: instance.ClientAddress(), Key: test.key, Pipeline: test.pipeline, Prompt: test.name, Tokens: 2})
		c.Assert(response.Status, qt.Equals, test.status, qt.Commentf("%s: %v", test.name, response.Err))
		if test.status != http.StatusOK {
			c.Assert(response.Outcome, qt.Equals, outcome.NotRun)
			c.Assert(h.HasExecuted(test.name), qt.IsFalse)
		}
	}
	assertKeysAreScoped(c, h, instance)
	assertClientKeyRefused(c, h, instance)
	assertBadInput(c, h, instance)
}

func addPrivatePipeline(c *qt.C, h *proof.Harness, instance *fleet.NamedInstance) {
	current, err := h.Operator(instance).Current(context.Background())
	c.Assert(err, qt.IsNil)
	changed := current.Configuration
	private := configuration.Pipeline{Name: "private", Model: fleet.Model}
	changed.Workspaces[1].Pipelines = append(changed.Workspaces[1].Pipelines, private)
	head, err := h.Operator(instance).Apply(context.Background(), api.Change{Expected: current.Head.Version, ID: "private", Configuration: &changed})
	c.Assert(err, qt.IsNil)
	assertActive(c, h, head.Version, time.Now())
}

// assertKeysAreScoped asserts that workspaces don't share idempotency keys.
func assertKeysAreScoped(c *qt.C, h *proof.Harness, instance *fleet.NamedInstance) {
	var texts []string
	for n := range 2 {
		response := h.Client.CallService(context.Background(), caller.ServiceRequest{
			Address: instance.ClientAddress(), Key: fleet.ClientKey(n), Method: http.MethodPost, Path: fleet.Service + "/reorder", ID: "same", Content: "kit",
		})
		c.Assert(response.Outcome, qt.Equals, outcome.Done, qt.Commentf("%v", response.Err))
		texts = append(texts, response.Text)
	}
	c.Assert(texts[0], qt.Not(qt.Equals), texts[1])
	c.Assert(h.Executed()["same"], qt.Equals, 2)
}

// assertClientKeyRefused asserts that every operator request refuses a client's key.
func assertClientKeyRefused(c *qt.C, h *proof.Harness, instance *fleet.NamedInstance) {
	client := operator.NewClient("http://"+instance.OperatorAddress().String(), fleet.ClientKey(0))
	ctx, version := context.Background(), instance.Version()
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
	newest, err := h.Operator(instance).Current(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(newest.Head.Version, qt.Equals, version)
}

func assertBadInput(c *qt.C, h *proof.Harness, instance *fleet.NamedInstance) {
	version := instance.Version()
	bad := fleet.Configuration()
	bad.Workspaces[0].Pipelines[0].Model = "no-such-model"
	_, err := h.Operator(instance).Apply(context.Background(), api.Change{Expected: version, ID: "bad", Configuration: bad})
	var refused *api.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, api.Invalid)
	c.Assert(refused.Findings, qt.Not(qt.HasLen), 0)
	for _, body := range []string{"", "{", `{"model":"stitch-guide"}`, `{"model":"stitch-guide","messages":[]}`} {
		status, response := post(c, "http://"+instance.ClientAddress().String()+"/v1/chat/completions", fleet.ClientKey(0), body)
		c.Assert(status, qt.Equals, http.StatusBadRequest, qt.Commentf("%s: %s", body, response))
		c.Assert(strings.Contains(response, `"Outcome":"NotRun"`), qt.IsTrue, qt.Commentf("%s", response))
	}
	c.Assert(h.Chat(context.Background(), instance, "after", 2).Outcome, qt.Equals, outcome.Done)
	c.Assert(instance.Version(), qt.Equals, version)
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

// Guards against keys, key hashes or request content in the state dump, the metrics or the log.
func TestNoSecretsInStateOrLog(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(c, proof.Options{Seed: 96, Instances: 1})
	instance := h.Instances()[0]
	responses := make(chan caller.Response, 1)
	go func() { responses <- h.Chat(context.Background(), instance, "private-question", 30) }()
	c.Assert(eventually(10*time.Second, func() bool { return h.HasExecuted("private-question") }), qt.IsTrue)
	c.Assert(h.PlaceOrder(context.Background(), instance, "private-order").Outcome, qt.Equals, outcome.Done)
	base := "http://" + instance.OperatorAddress().String()
	_, state := send(c, http.MethodGet, base+api.StatePath, fleet.OperatorKey, "")
	c.Assert(strings.Contains(state, `"Streams":1`), qt.IsTrue, qt.Commentf("%s", state))
	_, metrics := send(c, http.MethodGet, base+"/metrics", fleet.OperatorKey, "")
	c.Assert((<-responses).Outcome, qt.Equals, outcome.Done)
	logged := strings.Join(h.LogLines(), "")
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
