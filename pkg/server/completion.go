package server

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// completion is a parsed request of /v1/completions or /v1/chat/completions.
type completion struct {
	model     core.ModelName
	prompt    string
	maxTokens int64
	stream    bool
	chat      bool
}

const (
	defaultMaxTokens = 512
	maxTokensLimit   = 1 << 20
	maxMessages      = 4096
)

type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseCompletion parses the body of a completion request. Unknown fields, such as
// temperature, are ignored, as callers of this API expect.
func parseCompletion(body []byte, chat bool) (completion, *core.Refusal) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return completion{}, malformedRefusal("body is not a completion request: %v", err)
	}
	if parsed.Model == "" {
		return completion{}, malformedRefusal("field \"model\" must be set")
	}
	if parsed.N != nil && *parsed.N != 1 {
		return completion{}, malformedRefusal("field \"n\" must be 1")
	}
	maxTokens, refusal := parseMaxTokens(&parsed)
	if refusal != nil {
		return completion{}, refusal
	}
	prompt, refusal := parsePrompt(&parsed, chat)
	if refusal != nil {
		return completion{}, refusal
	}
	return completion{
		model:     core.ModelName(parsed.Model),
		prompt:    prompt,
		maxTokens: maxTokens,
		stream:    parsed.Stream,
		chat:      chat,
	}, nil
}

func parseMaxTokens(body *completionBody) (int64, *core.Refusal) {
	requested := body.MaxTokens
	if body.MaxCompletionTokens != nil {
		requested = body.MaxCompletionTokens
	}
	if requested == nil {
		return defaultMaxTokens, nil
	}
	if *requested < 1 || *requested > maxTokensLimit {
		return 0, malformedRefusal("field \"max_tokens\" is %d, want 1 to %d", *requested, maxTokensLimit)
	}
	return *requested, nil
}

func parsePrompt(body *completionBody, chat bool) (string, *core.Refusal) {
	if !chat {
		var prompt string
		if err := json.Unmarshal(body.Prompt, &prompt); err != nil || prompt == "" {
			return "", malformedRefusal("field \"prompt\" must be a non-empty string")
		}
		return prompt, nil
	}
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return "", malformedRefusal("field \"messages\" must hold 1 to %d messages", maxMessages)
	}
	var prompt strings.Builder
	for i, message := range body.Messages {
		if message.Role == "" {
			return "", malformedRefusal("field \"messages[%d].role\" must be set", i)
		}
		fmt.Fprintf(&prompt, "%s: %s\n", message.Role, message.Content)
	}
	return prompt.String(), nil
}

func malformedRefusal(format string, args ...any) *core.Refusal {
	return core.NewRefusal(core.CodeMalformed, fmt.Sprintf(format, args...))
}
