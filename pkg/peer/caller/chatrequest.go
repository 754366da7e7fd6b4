package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/outcome"
	"github.com/cuminroute/cuminroute/pkg/refusal"
)

// chatRequest is the body of POST /v1/chat/completions. Except for the hints at its end, the fields of type
// json.RawMessage are accepted only with a value that does not change the response. Fields that the protocol does
// not define are refused.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	Stop                stopSequences  `json:"stop"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`

	N                *int            `json:"n"`
	Tools            json.RawMessage `json:"tools"`
	ToolChoice       json.RawMessage `json:"tool_choice"`
	Functions        json.RawMessage `json:"functions"`
	FunctionCall     json.RawMessage `json:"function_call"`
	ResponseFormat   json.RawMessage `json:"response_format"`
	Logprobs         json.RawMessage `json:"logprobs"`
	TopLogprobs      json.RawMessage `json:"top_logprobs"`
	LogitBias        json.RawMessage `json:"logit_bias"`
	Modalities       json.RawMessage `json:"modalities"`
	Audio            json.RawMessage `json:"audio"`
	PresencePenalty  json.RawMessage `json:"presence_penalty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty"`
	WebSearchOptions json.RawMessage `json:"web_search_options"`
	ReasoningEffort  json.RawMessage `json:"reasoning_effort"`
	Store            json.RawMessage `json:"store"`
	ServiceTier      json.RawMessage `json:"service_tier"`

	// Temperature and TopP are validated but have no effect: the engine protocol has no fields for them, and
	// engines sample with their own settings.
	Temperature *float64 `json:"temperature"`
	TopP        *float64 `json:"top_p"`

	// The fields below are hints. They are ignored, since a response that is correct without them is also correct with
	// them.
	Seed                 json.RawMessage `json:"seed"`
	User                 json.RawMessage `json:"user"`
	Metadata             json.RawMessage `json:"metadata"`
	ParallelToolCalls    json.RawMessage `json:"parallel_tool_calls"`
	Prediction           json.RawMessage `json:"prediction"`
	Verbosity            json.RawMessage `json:"verbosity"`
	SafetyIdentifier     json.RawMessage `json:"safety_identifier"`
	PromptCacheKey       json.RawMessage `json:"prompt_cache_key"`
	PromptCacheRetention json.RawMessage `json:"prompt_cache_retention"`
}

type streamOptions struct {
	IncludeUsage       bool            `json:"include_usage"`
	IncludeObfuscation json.RawMessage `json:"include_obfuscation"`
}

// stopSequences is a string or a list of strings in JSON.
type stopSequences []string

// UnmarshalJSON accepts a string and a list of strings.
func (s *stopSequences) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*s = nil
		if one != "" {
			*s = stopSequences{one}
		}
		return nil
	}
	var many []string
	if err := json.Unmarshal(data, &many); err != nil {
		return errors.New("stop must be a string or a list of strings")
	}
	*s = many
	return nil
}

// parseChat decodes and validates a request.
func parseChat(body []byte, maxTokens int) (*chatRequest, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	parsed := &chatRequest{}
	if err := decoder.Decode(parsed); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidRequest("malformed_json", "the body has more than one JSON value")
	}
	return parsed, parsed.validate(maxTokens)
}

// decodeError returns the refusal for a body that could not be decoded.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	text := strings.TrimPrefix(err.Error(), "json: ")
	switch {
	case errors.As(err, &wrongType):
		return invalidRequest("invalid_type", "the field %s cannot be a %s (byte %d)",
			wrongType.Field, wrongType.Value, wrongType.Offset)
	case errors.As(err, &syntax):
		return invalidRequest("malformed_json", "the body is not JSON: %s (byte %d)", syntax.Error(), syntax.Offset)
	case strings.HasPrefix(text, "unknown field"):
		return invalidRequest("unknown_parameter", "the request has an %s", text)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return invalidRequest("malformed_json", "the body ends before its JSON value does")
	default:
		return invalidRequest("malformed_json", "the body cannot be read: %s", text)
	}
}

func invalidRequest(code, format string, args ...any) error {
	return refusal.New(http.StatusBadRequest, code, outcome.NotRun, format, args...)
}

// maxOutputTokens returns the request's limit on output tokens, or limit if it sets none.
func (r *chatRequest) maxOutputTokens(limit int) int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return limit
	}
}
