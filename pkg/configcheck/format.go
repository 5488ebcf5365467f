package configcheck

import (
	"context"
	"errors"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
)

// Format is a format of configurations.
type Format interface {
	// Recognises reports whether a document with these top-level fields has the format.
	Recognises(fields []string) bool
	// Check checks a document.
	Check(file string, content []byte, o Options) *Report
	// ReadInForce reads the configuration in force. Its error wraps ErrUnreachable if the platform did
	// not answer.
	ReadInForce(ctx context.Context, platformURL string) (InForce, error)
}

// ErrUnreachable reports that the configuration in force could not be read.
var ErrUnreachable = errors.New("the platform is unreachable")

// InForce is the configuration in force.
type InForce struct {
	// Name names the version, for messages.
	Name string
	// Content is nil if no configuration is in force.
	Content []byte
	// Upstreams are the registered ones, nil if the platform has no list of them.
	Upstreams []catalog.Upstream
}
