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

// responseWriter writes one responseWriter to a caller. Every write has its own deadline: a
// server-wide WriteTimeout would end long streams.
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
	text         strings.Builder // the answer so far, when it is sent whole
	tokenCount   int
	finishReason string // why generation ended
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

// writeToken relays one writeToken. The event id lets the caller resume after it.
func (a *responseWriter) writeToken(t upstream.Token, eventID string) error {
	a.tokenCount++
	a.finishReason = t.Reason
	if !a.stream {
		a.text.WriteString(t.Text)
		return nil
	}
	a.startStream()
	chunk := a.chunk(t)
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return a.writeEvent(eventID, "", data)
}

func (a *responseWriter) chunk(t upstream.Token) completionResponse {
	part := choice{}
	if t.Done {
		reason := t.Reason
		part.FinishReason = &reason
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		part.Delta = &message{Content: t.Text}
	} else {
		part.Text = &t.Text
	}
	return completionResponse{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: []choice{part}}
}

func (a *responseWriter) startStream() {
	if a.started {
		return
	}
	a.started = true
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Request-Id", string(a.id))
	a.w.WriteHeader(http.StatusOK)
}

func (a *responseWriter) writeEvent(id, name string, data []byte) error {
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
	a.extendWriteDeadline()
	if _, err := a.w.Write(buffer); err != nil {
		return err
	}
	return a.controller.Flush()
}

// writeKeepAlive sends a comment, which callers of a stream ignore. It finds a
// caller whose connection has gone silent while no token is due.
func (a *responseWriter) writeKeepAlive() error {
	if !a.started {
		return nil
	}
	a.extendWriteDeadline()
	if _, err := a.w.Write([]byte(": keep-alive\n\n")); err != nil {
		return err
	}
	return a.controller.Flush()
}

func (a *responseWriter) extendWriteDeadline() {
	// An unsupported deadline leaves the TCP user timeout of the listener.
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.writeTimeout))
}

// finish writes the end of a stream, or the whole answer.
func (a *responseWriter) finish(promptTokens int) {
	if a.stream {
		a.startStream()
		_ = a.writeEvent("", "", []byte("[DONE]"))
		return
	}
	part := choice{FinishReason: &a.finishReason}
	object := "text_completion"
	text := a.text.String()
	if a.chat {
		object = "chat.completion"
		part.Message = &message{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	a.writeJSON(http.StatusOK, completionResponse{
		ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: []choice{part},
		Usage: &usage{PromptTokens: promptTokens, CompletionTokens: a.tokenCount, TotalTokens: promptTokens + a.tokenCount},
	})
}

// writeRefusal writes a refusal: as an event when the stream has begun, otherwise as
// the whole answer.
func (a *responseWriter) writeRefusal(refusal *core.Refusal) {
	body := refusal.Body(a.id)
	if a.started {
		data, err := json.Marshal(body)
		if err == nil {
			_ = a.writeEvent("", "error", data)
		}
		return
	}
	if refusal.RetryAfter > 0 {
		seconds := int64(math.Ceil(refusal.RetryAfter.Seconds()))
		a.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	a.writeJSON(httpStatus(refusal), body)
}

func (a *responseWriter) writeJSON(status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	a.extendWriteDeadline()
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("X-Request-Id", string(a.id))
	a.w.WriteHeader(status)
	_, _ = a.w.Write(append(data, '\n'))
}

// writeReplay answers a resent call with the outcome of the first one. The body of
// that answer is not recorded.
func (a *responseWriter) writeReplay(outcome claims.Outcome) {
	a.w.Header().Set("Idempotent-Replayed", "true")
	a.writeJSON(outcome.Status, replayBody{Replayed: true, Status: outcome.Status, RequestID: a.id})
}

type replayBody struct {
	Replayed  bool           `json:"replayed"`
	Status    int            `json:"status"`
	RequestID core.RequestID `json:"request_id"`
}

// writePlainResponse passes on the answer of a plain service.
func (a *responseWriter) writePlainResponse(reply *upstream.PlainReply) {
	header := a.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	header.Set("X-Request-Id", string(a.id))
	a.extendWriteDeadline()
	a.w.WriteHeader(reply.Status)
	_, _ = a.w.Write(reply.Body)
}
