package caller

import (
	"encoding/json"
	"slices"
)

// maxStopSequences is the protocol's limit on stop sequences.
const maxStopSequences = 4

// validate refuses requests for unsupported features, so that no response silently differs from what the client
// asked for.
func (r *chatRequest) validate(maxTokens int) error {
	for _, validate := range []func() error{
		r.validateMessages, func() error { return r.validateLengths(maxTokens) }, r.validateStop, r.validateSampling,
		r.validateUnsupported,
	} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatRequest) validateMessages() error {
	if r.Model == "" {
		return invalidRequest("missing_parameter", "the field model is missing")
	}
	if len(r.Messages) == 0 {
		return invalidRequest("missing_parameter", "the field messages is missing or empty")
	}
	for i, m := range r.Messages {
		if err := m.validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatRequest) validateLengths(limit int) error {
	if r.MaxTokens != nil && r.MaxCompletionTokens != nil && *r.MaxTokens != *r.MaxCompletionTokens {
		return invalidRequest("invalid_value", "max_tokens and max_completion_tokens differ; give one of them")
	}
	if n := r.maxOutputTokens(limit); n < 1 || n > limit {
		return invalidRequest("invalid_value", "the answer's length is %d tokens; 1 to %d are accepted", n, limit)
	}
	if r.StreamOptions != nil && !r.Stream {
		return invalidRequest("invalid_value", "stream_options needs stream")
	}
	return nil
}

func (r *chatRequest) validateStop() error {
	if len(r.Stop) > maxStopSequences {
		return invalidRequest("invalid_value", "stop has %d sequences; at most %d are accepted", len(r.Stop), maxStopSequences)
	}
	if slices.Contains(r.Stop, "") {
		return invalidRequest("invalid_value", "stop holds an empty sequence")
	}
	return nil
}

func (r *chatRequest) validateSampling() error {
	if r.Temperature != nil && (*r.Temperature < 0 || *r.Temperature > 2) {
		return invalidRequest("invalid_value", "temperature is %g; 0 to 2 are accepted", *r.Temperature)
	}
	if r.TopP != nil && (*r.TopP < 0 || *r.TopP > 1) {
		return invalidRequest("invalid_value", "top_p is %g; 0 to 1 are accepted", *r.TopP)
	}
	return nil
}

func (r *chatRequest) validateUnsupported() error {
	if r.N != nil && *r.N != 1 {
		return invalidRequest("unsupported_parameter", "n is %d; only 1 is supported", *r.N)
	}
	for _, field := range []struct {
		name     string
		value    json.RawMessage
		accepted []string // accepted has the values that do not change the response.
	}{
		{"tools", r.Tools, []string{"[]"}},
		{"tool_choice", r.ToolChoice, []string{`"none"`, `"auto"`}},
		{"functions", r.Functions, []string{"[]"}},
		{"function_call", r.FunctionCall, []string{`"none"`, `"auto"`}},
		{"response_format", r.ResponseFormat, []string{`{"type":"text"}`}},
		{"logprobs", r.Logprobs, []string{"false"}},
		{"top_logprobs", r.TopLogprobs, []string{"0"}},
		{"logit_bias", r.LogitBias, []string{"{}"}},
		{"modalities", r.Modalities, []string{`["text"]`}},
		{"audio", r.Audio, nil},
		{"presence_penalty", r.PresencePenalty, []string{"0", "0.0"}},
		{"frequency_penalty", r.FrequencyPenalty, []string{"0", "0.0"}},
		{"web_search_options", r.WebSearchOptions, nil},
		{"reasoning_effort", r.ReasoningEffort, []string{`"none"`}},
		{"store", r.Store, []string{"false"}},
		{"service_tier", r.ServiceTier, []string{`"auto"`, `"default"`}},
	} {
		if !isAccepted(field.value, field.accepted) {
			return invalidRequest("unsupported_parameter", "the field %s is not supported with the value %.100s",
				field.name, field.value)
		}
	}
	return nil
}

// isAccepted reports whether a field is absent, null, or has one of the accepted values.
func isAccepted(value json.RawMessage, accepted []string) bool {
	compact := compactJSON(value)
	return compact == "" || compact == "null" || slices.Contains(accepted, compact)
}
