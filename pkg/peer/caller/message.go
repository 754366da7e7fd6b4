package caller

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role         string          `json:"role"`
	Content      messageContent  `json:"content"`
	Name         string          `json:"name"`
	Refusal      string          `json:"refusal"`
	ToolCalls    json.RawMessage `json:"tool_calls"`
	ToolCallID   json.RawMessage `json:"tool_call_id"`
	FunctionCall json.RawMessage `json:"function_call"`
	Audio        json.RawMessage `json:"audio"`
	Annotations  json.RawMessage `json:"annotations"`
}

// messageContent is the text of a message, which is a string or a list of content parts in JSON.
type messageContent struct {
	text        string
	present     bool
	unsupported string // unsupported is the type of the last content part that is not text, or empty.
}

type contentPart struct {
	Type    string `json:"type"`
	Text    string `json:"text"`
	Refusal string `json:"refusal"`
}

// UnmarshalJSON accepts a string and a list of content parts.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	c.present = !bytes.Equal(data, []byte("null"))
	if !c.present || data[0] == '"' {
		return json.Unmarshal(data, &c.text)
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		if p.Type != "text" {
			c.unsupported = p.Type
		}
		c.text += p.Text
	}
	return nil
}

func (m chatMessage) validate(index int) error {
	if !slices.Contains([]string{"system", "developer", "user", "assistant"}, m.Role) {
		return invalidRequest("unsupported_parameter",
			"messages[%d].role is %q; system, developer, user and assistant are supported", index, m.Role)
	}
	if m.Content.unsupported != "" {
		return invalidRequest("unsupported_parameter",
			"messages[%d].content has a part of type %q; only text is supported", index, m.Content.unsupported)
	}
	if !m.Content.present {
		return invalidRequest("missing_parameter", "messages[%d].content is missing", index)
	}
	for _, raw := range []json.RawMessage{m.ToolCalls, m.ToolCallID, m.FunctionCall, m.Audio} {
		if !isAccepted(raw, []string{"[]", `""`}) {
			return invalidRequest("unsupported_parameter", "messages[%d] has tool calls or audio, which are not supported", index)
		}
	}
	return nil
}

// Message is the role and the text of one message.
type Message struct {
	Role string
	Text string
}

// Prompt returns the prompt text for a conversation: one line with the role and text of each message, followed by
// the assistant role.
func Prompt(messages []Message) string {
	return PromptPrefix(messages) + "assistant:"
}

// PromptPrefix returns the part of the prompt for the messages, without the final assistant role.
func PromptPrefix(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Text)
		b.WriteByte('\n')
	}
	return b.String()
}

func (r *chatRequest) promptMessages() []Message {
	messages := make([]Message, 0, len(r.Messages))
	for _, m := range r.Messages {
		messages = append(messages, Message{Role: m.Role, Text: m.Content.text})
	}
	return messages
}

// compactJSON removes insignificant white space.
func compactJSON(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}
