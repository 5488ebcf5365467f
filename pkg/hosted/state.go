package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

// heldConfig is the configuration that an Instance holds.
type heldConfig struct {
	RoutingObject
	// compressed returns the encoded configuration in gzip format.
	compressed func() ([]byte, error)
}

func newHeldConfig(object RoutingObject) *heldConfig {
	return &heldConfig{RoutingObject: object, compressed: sync.OnceValues(func() ([]byte, error) { return compress(object.Raw) })}
}

func compress(raw []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	err = writer.Close()
	return buffer.Bytes(), err
}

// maxConfigBytes bounds a configuration from a peer. The store holds values of up to a megabyte.
const maxConfigBytes = 4 << 20

func decompress(text []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes+1))
	if err == nil && len(raw) > maxConfigBytes {
		err = fmt.Errorf("the configuration is larger than %d bytes", maxConfigBytes)
	}
	return raw, err
}

// peerConfig is the encoded configuration that one Instance fetches from another.
type peerConfig struct {
	Revision core.StoreRevision `json:"store_revision"`
	Raw      []byte             `json:"raw,omitempty"`
	// Compressed replaces Raw if the request has asked for acceptGzip.
	Compressed []byte `json:"gzip,omitempty"`
}

func (c peerConfig) raw() ([]byte, error) {
	if c.Compressed != nil {
		return decompress(c.Compressed)
	}
	return c.Raw, nil
}

// acceptGzip is the body of a fetch by an Instance that can decompress the reply.
const acceptGzip = "gzip"

// servePeer handles a fetch by a peer. name is a router.StateKind.
func (d *Daemon) servePeer(_ core.InstanceRef, name string, body []byte) ([]byte, error) {
	switch router.StateKind(name) {
	case router.StateConfig:
		current := d.config.Load()
		if current == nil {
			return nil, errorx.IllegalState.New("no configuration is held here")
		}
		if string(body) != acceptGzip {
			return json.Marshal(peerConfig{Revision: current.Revision, Raw: current.Raw})
		}
		compressed, err := current.compressed()
		if err != nil {
			return nil, err
		}
		return json.Marshal(peerConfig{Revision: current.Revision, Compressed: compressed})
	case router.StateUpstreams:
		current := d.upstreams.Load()
		if current == nil {
			return nil, errorx.IllegalState.New("no list of upstreams is held here")
		}
		return json.Marshal(current.agedAt(d.now()))
	case stateMembers:
		return json.Marshal([]fleet.Member{d.router.HostedMember()})
	}
	return nil, errorx.IllegalArgument.New("%q is not known", name)
}

// fetchState fetches a state from a peer and posts it, followed by a StateFetchEnded.
func (d *Daemon) fetchState(ctx context.Context, e router.FetchState) {
	defer d.post(router.StateFetchEnded{Kind: e.Kind, From: e.From})
	fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	body, err := d.peers.Fetch(fetchCtx, e.Addr, string(e.Kind), []byte(acceptGzip))
	if err == nil {
		err = d.applyState(e, body)
	}
	if err != nil {
		telemetry.ComponentLogger(d.log, "fleet").Warn("could not fetch state from peer",
			zap.String("kind", string(e.Kind)), zap.String("from", string(e.From)), zap.String("addr", e.Addr), zap.Error(err))
	}
}

func (d *Daemon) applyState(e router.FetchState, body []byte) error {
	switch e.Kind {
	case router.StateConfig:
		var got peerConfig
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		raw, err := got.raw()
		if err != nil {
			return err
		}
		routing, err := d.adapter.Store.DecodeRouting(raw)
		if err != nil {
			return err
		}
		d.postRouting(RoutingObject{Routing: routing, Revision: got.Revision, Raw: raw}, e.From, 0)
	case router.StateUpstreams:
		var got upstreamList
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		d.post(router.UpstreamsListed{Revision: got.Revision, Upstreams: got.Upstreams, From: e.From})
	case stateMembers:
		var got []fleet.Member
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		d.post(router.MembersListed{Members: got})
	}
	return nil
}
