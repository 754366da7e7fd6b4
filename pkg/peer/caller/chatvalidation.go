package caller

import (
	"encoding/json"
	"slices"
)

// maxStop is the protocol's limit on stop sequences.
const maxStop = 4

// check refuses what the system cannot do, so that no answer differs silently from what was asked for.
func (r *chatRequest) check(maxTokens int) error {
	for _, check := range []func() error{
		r.checkMessages, func() error { return r.checkLengths(maxTokens) }, r.checkStop, r.checkSampling, r.checkUnsupported,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatRequest) checkMessages() error {
	if r.Model == "" {
		return invalid("missing_parameter", "the field model is missing")
	}
	if len(r.Messages) == 0 {
		return invalid("missing_parameter", "the field messages is missing or empty")
	}
	for i, m := range r.Messages {
		if err := m.check(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatRequest) checkLengths(limit int) error {
	if r.MaxTokens != nil && r.MaxCompletionTokens != nil && *r.MaxTokens != *r.MaxCompletionTokens {
		return invalid("invalid_value", "max_tokens and max_completion_tokens differ; give one of them")
	}
	if n := r.tokens(limit); n < 1 || n > limit {
		return invalid("invalid_value", "the answer's length is %d tokens; 1 to %d are accepted", n, limit)
	}
	if r.StreamOptions != nil && !r.Stream {
		return invalid("invalid_value", "stream_options needs stream")
	}
	return nil
}

func (r *chatRequest) checkStop() error {
	if len(r.Stop) > maxStop {
		return invalid("invalid_value", "stop has %d sequences; at most %d are accepted", len(r.Stop), maxStop)
	}
	if slices.Contains(r.Stop, "") {
		return invalid("invalid_value", "stop holds an empty sequence")
	}
	return nil
}

func (r *chatRequest) checkSampling() error {
	if r.Temperature != nil && (*r.Temperature < 0 || *r.Temperature > 2) {
		return invalid("invalid_value", "temperature is %g; 0 to 2 are accepted", *r.Temperature)
	}
	if r.TopP != nil && (*r.TopP < 0 || *r.TopP > 1) {
		return invalid("invalid_value", "top_p is %g; 0 to 1 are accepted", *r.TopP)
	}
	return nil
}

func (r *chatRequest) checkUnsupported() error {
	if r.N != nil && *r.N != 1 {
		return invalid("unsupported_parameter", "n is %d; only 1 is supported", *r.N)
	}
	for _, field := range []struct {
		name    string
		value   json.RawMessage
		neutral []string
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
		if !isNeutral(field.value, field.neutral) {
			return invalid("unsupported_parameter", "the field %s is not supported with the value %.100s",
				field.name, field.value)
		}
	}
	return nil
}

// isNeutral reports whether a field is absent, null, or has a value that asks for nothing special.
func isNeutral(value json.RawMessage, neutral []string) bool {
	compact := compactJSON(value)
	return compact == "" || compact == "null" || slices.Contains(neutral, compact)
}
