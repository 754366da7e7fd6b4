package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
	"github.com/cuminroute/cuminroute/pkg/stream"
)

const (
	// bytesPerToken is a common average for text.
	bytesPerToken = 4
	// usualAnswer is the estimated length of an answer that may be longer, in tokens.
	usualAnswer = 256
)

// errStopped ends an answer at a stop sequence.
var errStopped = errors.New("a stop sequence was found")

// sink receives the text of an answer and then its end.
type sink interface {
	text(text string) error
	end(finish string, summary stream.Summary) error
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(x *exchange) error {
	if x.request.Method != http.MethodPost {
		return wrongMethod(x, http.MethodPost)
	}
	body, err := x.body()
	if err != nil {
		return err
	}
	parsed, err := parseChat(body, s.maxTokens)
	if err != nil {
		return err
	}
	pipeline, ok := x.configuration.Pipeline(x.caller.Workspace, parsed.Model)
	if !ok {
		return unknownModel(parsed.Model)
	}
	req, err := s.streamRequest(x, parsed, pipeline)
	if err != nil {
		return err
	}
	ctx, cancel, err := x.bound(timeoutOf(pipeline, x.rules))
	if err != nil {
		return err
	}
	defer cancel()
	release, err := s.admit(ctx, x, req)
	if err != nil {
		return err
	}
	defer release()
	return s.answer(ctx, x, parsed, req)
}

func (s *Server) streamRequest(x *exchange, parsed *chatRequest, p configuration.Pipeline) (stream.Request, error) {
	m, ok := x.configuration.Model(p.Model)
	if !ok {
		return stream.Request{}, refusal.New(http.StatusNotFound, "model_not_found", outcome.NotRun,
			"the pipeline %q names a model that the configuration does not hold", p.Name)
	}
	priority, err := x.priority(priorityOf(p, x.rules))
	if err != nil {
		return stream.Request{}, err
	}
	messages := parsed.conversation()
	prompt := Prompt(messages)
	return stream.Request{
		ID: x.id, Workspace: x.caller.Workspace, Model: m.Name, Layers: m.Layers, Prompt: prompt,
		PrefixHash: prefixHash(messages), MaxTokens: parsed.tokens(s.maxTokens), Priority: priority,
		Fingerprint: s.fingerprint(x.caller.Workspace, []byte(m.Name+"\n"+prompt)),
	}, nil
}

// prefixHash is that of the messages that engines may have cached from an earlier request. Engines
// cache prompts and not answers, so a conversation's next request has in common with the one before
// every message up to the question before the latest answer. Another conversation with the same
// instructions has every message but the last in common.
func prefixHash(messages []Message) uint64 {
	return xxhash.Sum64String(PromptPrefix(messages[:sharedMessages(messages)]))
}

func sharedMessages(messages []Message) int {
	n := len(messages)
	switch {
	case n >= 3 && messages[n-2].Role == "assistant":
		return n - 2
	case n >= 2:
		return n - 1
	default:
		return n
	}
}

// priorityOf takes the pipeline's priority during opening hours only.
func priorityOf(p configuration.Pipeline, rules configuration.EffectiveRules) configuration.Priority {
	if p.Priority != "" && rules.Open {
		return p.Priority
	}
	return rules.Priority
}

func timeoutOf(p configuration.Pipeline, rules configuration.EffectiveRules) time.Duration {
	if p.Timeout > 0 {
		return p.Timeout
	}
	return rules.Timeout
}

// admit waits for admission. Nothing has been sent, so every refusal is NotRun.
func (s *Server) admit(ctx context.Context, x *exchange, req stream.Request) (func(), error) {
	workspace, _ := x.configuration.Workspace(req.Workspace)
	deadline, _ := ctx.Deadline()
	release, err := s.gate.Acquire(ctx, AdmissionRequest{
		ID: req.ID, Workspace: req.Workspace, Weight: workspace.Weight, Priority: req.Priority,
		Cost: float64(len(req.Prompt)/bytesPerToken + min(req.MaxTokens, usualAnswer)), Deadline: deadline,
	})
	if err == nil {
		return release, nil
	}
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return nil, refused
	}
	return nil, refusal.New(http.StatusServiceUnavailable, "overloaded", outcome.NotRun,
		"the system is full").WithRetryAfter(gateRetryAfter).WithCause(err)
}

// answer runs the request and passes its text on, up to a stop sequence.
func (s *Server) answer(ctx context.Context, x *exchange, parsed *chatRequest, req stream.Request) error {
	out := newSink(x, parsed)
	stop := newStopper(parsed.Stop)
	summary, err := s.answerer.Run(ctx, req, func(t stream.Token) error {
		if t.Index == 0 {
			s.firstToken.Update(s.now().Sub(x.began))
		}
		text, stopped := stop.push(t.Text)
		if err := out.text(text); err != nil {
			return err
		}
		if stopped {
			return errStopped
		}
		return nil
	})
	x.generations = summary.Generations
	if errors.Is(err, errStopped) {
		return out.end(string(stream.FinishStop), summary)
	}
	if err != nil {
		return err
	}
	if err := out.text(stop.rest()); err != nil {
		return err
	}
	return out.end(string(summary.FinishReason), summary)
}
