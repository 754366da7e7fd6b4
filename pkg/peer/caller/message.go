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

// messageContent is the text of a message, given whole or in parts.
type messageContent struct {
	text        string
	given       bool
	unsupported string // unsupported is the type of a part that is not text.
}

type contentPart struct {
	Type    string `json:"type"`
	Text    string `json:"text"`
	Refusal string `json:"refusal"`
}

// UnmarshalJSON accepts both forms of the protocol.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	c.given = !bytes.Equal(data, []byte("null"))
	if !c.given || data[0] == '"' {
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

func (m chatMessage) check(index int) error {
	if !slices.Contains([]string{"system", "developer", "user", "assistant"}, m.Role) {
		return invalid("unsupported_parameter",
			"messages[%d].role is %q; system, developer, user and assistant are supported", index, m.Role)
	}
	if m.Content.unsupported != "" {
		return invalid("unsupported_parameter",
			"messages[%d].content has a part of type %q; only text is supported", index, m.Content.unsupported)
	}
	if !m.Content.given {
		return invalid("missing_parameter", "messages[%d].content is missing", index)
	}
	for _, raw := range []json.RawMessage{m.ToolCalls, m.ToolCallID, m.FunctionCall, m.Audio} {
		if !isNeutral(raw, []string{"[]", `""`}) {
			return invalid("unsupported_parameter", "messages[%d] has tool calls or audio, which are not supported", index)
		}
	}
	return nil
}

// Message is the role and the text of one message.
type Message struct {
	Role string
	Text string
}

// Prompt returns the text that engines get for a conversation: one line of role and text for each
// message, and the role of the answer.
func Prompt(messages []Message) string {
	return PromptPrefix(messages) + "assistant:"
}

// PromptPrefix returns the part of the prompt that the messages make up.
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

func (r *chatRequest) conversation() []Message {
	messages := make([]Message, 0, len(r.Messages))
	for _, m := range r.Messages {
		messages = append(messages, Message{Role: m.Role, Text: m.Content.text})
	}
	return messages
}

// compactJSON removes insignificant space.
func compactJSON(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}
