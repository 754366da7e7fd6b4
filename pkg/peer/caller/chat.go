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
	// typicalOutputTokens is the estimated output of a request with a larger limit on its output tokens.
	typicalOutputTokens = 256
)

// errStopSequence ends generation at a stop sequence.
var errStopSequence = errors.New("stop sequence found")

// completionWriter writes the generated text of a completion and then its finish reason and usage.
type completionWriter interface {
	writeText(text string) error
	finish(reason string, summary stream.Summary) error
}

// handleChat handles POST /v1/chat/completions.
func (s *Server) handleChat(x *exchange) error {
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
	pipeline, ok := x.configuration.Pipeline(x.client.Workspace, parsed.Model)
	if !ok {
		return unknownModel(parsed.Model)
	}
	req, err := s.streamRequest(x, parsed, pipeline)
	if err != nil {
		return err
	}
	ctx, cancel, err := x.withTimeout(timeoutOf(pipeline, x.rules))
	if err != nil {
		return err
	}
	defer cancel()
	release, err := s.admit(ctx, x, req)
	if err != nil {
		return err
	}
	defer release()
	return s.generate(ctx, x, parsed, req)
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
	messages := parsed.promptMessages()
	prompt := Prompt(messages)
	return stream.Request{
		ID: x.id, Workspace: x.client.Workspace, Model: m.Name, Layers: m.Layers, Prompt: prompt,
		PrefixHash: prefixHash(messages), MaxTokens: parsed.maxOutputTokens(s.maxTokens), Priority: priority,
		Fingerprint: s.fingerprint(x.client.Workspace, []byte(m.Name+"\n"+prompt)), Parts: s.messageParts(messages),
	}, nil
}

// maxMessageParts bounds the messages of a request that are tracked as parts; the latest are.
const maxMessageParts = 32

// messageParts returns the fingerprints of the messages that other requests may share: all but the last. A message that
// crashes engines does so in any request.
func (s *Server) messageParts(messages []Message) []uint64 {
	shared := messages[:max(0, len(messages)-1)]
	shared = shared[max(0, len(shared)-maxMessageParts):]
	parts := make([]uint64, len(shared))
	for i := range shared {
		parts[i] = s.fingerprint("", []byte("message\n"+PromptPrefix(shared[i:i+1])))
	}
	return parts
}

// prefixHash returns the hash of the prompt prefix that engines may have cached from an earlier request.
// Engines cache prompts but not generated output. The next request of a conversation therefore shares with
// the previous one all messages before the latest assistant message. Another conversation with the same
// system prompt shares all messages but the last.
func prefixHash(messages []Message) uint64 {
	return xxhash.Sum64String(PromptPrefix(messages[:sharedMessages(messages)]))
}

// sharedMessages returns the number of leading messages that the prompt may share with an earlier prompt.
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

// priorityOf returns the pipeline's priority, if it has one and the branch is open, and otherwise the rules' priority.
func priorityOf(p configuration.Pipeline, rules configuration.EffectiveRules) configuration.Priority {
	if p.Priority != "" && rules.Open {
		return p.Priority
	}
	return rules.Priority
}

// timeoutOf returns the pipeline's timeout, if it has one, and otherwise the rules' timeout.
func timeoutOf(p configuration.Pipeline, rules configuration.EffectiveRules) time.Duration {
	if p.Timeout > 0 {
		return p.Timeout
	}
	return rules.Timeout
}

// admit waits until the admission controller admits the request. Nothing has been sent to a target yet, so every
// refusal has the outcome NotRun.
func (s *Server) admit(ctx context.Context, x *exchange, req stream.Request) (func(), error) {
	workspace, _ := x.configuration.Workspace(req.Workspace)
	deadline, _ := ctx.Deadline()
	release, err := s.admission.Acquire(ctx, AdmissionRequest{
		ID: req.ID, Workspace: req.Workspace, Weight: workspace.Weight, Priority: req.Priority,
		Cost: float64(len(req.Prompt)/bytesPerToken + min(req.MaxTokens, typicalOutputTokens)), Deadline: deadline,
	})
	if err == nil {
		return release, nil
	}
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return nil, refused
	}
	return nil, refusal.New(http.StatusServiceUnavailable, "overloaded", outcome.NotRun,
		"the system is full").WithRetryAfter(admissionRetryAfter).WithCause(err)
}

// generate runs the request and writes the generated text up to the first stop sequence.
func (s *Server) generate(ctx context.Context, x *exchange, parsed *chatRequest, req stream.Request) error {
	out := newCompletionWriter(x, parsed)
	stop := newStopFilter(parsed.Stop)
	summary, err := s.runner.Run(ctx, req, func(t stream.Token) error {
		if t.Index == 0 {
			s.firstToken.Update(s.now().Sub(x.start))
		}
		text, stopped := stop.push(t.Text)
		if err := out.writeText(text); err != nil {
			return err
		}
		if stopped {
			return errStopSequence
		}
		return nil
	})
	x.generations = summary.Generations
	if errors.Is(err, errStopSequence) {
		return out.finish(string(stream.FinishStop), summary)
	}
	if err != nil {
		return err
	}
	if err := out.writeText(stop.flush()); err != nil {
		return err
	}
	return out.finish(string(summary.FinishReason), summary)
}
