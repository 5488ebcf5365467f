package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against example documents that no longer pass the parser, and against a
// Format that Parse does not read back.
func TestExamples(t *testing.T) {
	for _, name := range []string{"division.jsonc", "cooperative.jsonc"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
			is.NoErr(err)
			doc, findings := Parse(name, text)
			is.NoErr(findings.Err())
			is.Equal(len(doc.Accounts), 5)
			is.Equal(len(doc.Services[0].Upstreams), 18)
			again, findings := Parse(name, Format(doc))
			is.NoErr(findings.Err())
			is.Equal(again, doc)
		})
	}
}
