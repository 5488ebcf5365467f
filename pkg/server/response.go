package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// responseWriter writes one response to a caller. Each write has its own deadline:
// a server-wide WriteTimeout would end long streams.
type responseWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	id           core.RequestID
	model        string
	chat         bool
	stream       bool
	writeTimeout time.Duration
	created      int64

	started      bool
	text         strings.Builder // the text so far of a response that is not streamed
	tokenCount   int
	finishReason string // as reported by the engine
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      core.RequestID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// writeToken writes one token to a stream, or buffers it. The caller can resume
// after it with the event id.
func (rw *responseWriter) writeToken(t upstream.Token, eventID string) error {
	rw.tokenCount++
	rw.finishReason = t.Reason
	if !rw.stream {
		rw.text.WriteString(t.Text)
		return nil
	}
	rw.startStream()
	chunk := rw.chunk(t)
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return rw.writeEvent(eventID, "", data)
}

func (rw *responseWriter) chunk(t upstream.Token) completionResponse {
	part := choice{}
	if t.Done {
		reason := t.Reason
		part.FinishReason = &reason
	}
	object := "text_completion"
	if rw.chat {
		object = "chat.completion.chunk"
		part.Delta = &message{Content: t.Text}
	} else {
		part.Text = &t.Text
	}
	return completionResponse{ID: rw.id, Object: object, Created: rw.created, Model: rw.model, Choices: []choice{part}}
}

func (rw *responseWriter) startStream() {
	if rw.started {
		return
	}
	rw.started = true
	header := rw.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Request-Id", string(rw.id))
	rw.w.WriteHeader(http.StatusOK)
}

func (rw *responseWriter) writeEvent(id, name string, data []byte) error {
	buffer := make([]byte, 0, len(data)+len(id)+len(name)+32)
	if id != "" {
		buffer = append(buffer, "id: "+id+"\n"...)
	}
	if name != "" {
		buffer = append(buffer, "event: "+name+"\n"...)
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	rw.extendWriteDeadline()
	if _, err := rw.w.Write(buffer); err != nil {
		return err
	}
	return rw.controller.Flush()
}

// writeKeepAlive writes an SSE comment, which callers ignore, to a started stream.
// Its write fails on a broken connection also while no tokens arrive.
func (rw *responseWriter) writeKeepAlive() error {
	if !rw.started {
		return nil
	}
	rw.extendWriteDeadline()
	if _, err := rw.w.Write([]byte(": keep-alive\n\n")); err != nil {
		return err
	}
	return rw.controller.Flush()
}

func (rw *responseWriter) extendWriteDeadline() {
	// Fails only in tests without a connection.
	_ = rw.controller.SetWriteDeadline(time.Now().Add(rw.writeTimeout))
}

// finish writes the end of a stream, or the complete response.
func (rw *responseWriter) finish(promptTokens int) {
	if rw.stream {
		rw.startStream()
		_ = rw.writeEvent("", "", []byte("[DONE]"))
		return
	}
	part := choice{FinishReason: &rw.finishReason}
	object := "text_completion"
	text := rw.text.String()
	if rw.chat {
		object = "chat.completion"
		part.Message = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	rw.writeJSON(http.StatusOK, completionResponse{
		ID: rw.id, Object: object, Created: rw.created, Model: rw.model, Choices: []choice{part},
		Usage: &usage{PromptTokens: promptTokens, CompletionTokens: rw.tokenCount, TotalTokens: promptTokens + rw.tokenCount},
	})
}

// writeRefusal writes a refusal: as an event on a started stream, otherwise as the
// response.
func (rw *responseWriter) writeRefusal(refusal *core.Refusal) {
	body := refusal.Body(rw.id)
	if rw.started {
		data, err := json.Marshal(body)
		if err == nil {
			_ = rw.writeEvent("", "error", data)
		}
		return
	}
	if refusal.RetryAfter > 0 {
		seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
		rw.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	rw.writeJSON(httpStatus(refusal), body)
}

func (rw *responseWriter) writeJSON(status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	rw.extendWriteDeadline()
	rw.w.Header().Set("Content-Type", "application/json")
	rw.w.Header().Set("X-Request-Id", string(rw.id))
	rw.w.WriteHeader(status)
	_, _ = rw.w.Write(append(data, '\n'))
}

// writeReplay responds to a retried plain request with the status of the recorded
// outcome. The body of the first response is not recorded.
func (rw *responseWriter) writeReplay(outcome claims.Outcome) {
	rw.w.Header().Set("Idempotent-Replayed", "true")
	rw.writeJSON(outcome.Status, replayBody{Replayed: true, Status: outcome.Status, RequestID: rw.id})
}

type replayBody struct {
	Replayed  bool           `json:"replayed"`
	Status    int            `json:"status"`
	RequestID core.RequestID `json:"request_id"`
}

// writePlainResponse writes the response of a plain service.
func (rw *responseWriter) writePlainResponse(response *upstream.PlainResponse) {
	header := rw.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set("X-Request-Id", string(rw.id))
	rw.extendWriteDeadline()
	rw.w.WriteHeader(response.Status)
	_, _ = rw.w.Write(response.Body)
}
