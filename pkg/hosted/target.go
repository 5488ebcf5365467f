package hosted

import (
	"net/http"
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// requestTarget is the target of a request as its caller has written it: path and query. The route
// is chosen by the same bytes that the Upstream gets, because a decoded path may begin with another
// prefix: "%2F" is data of a segment, not a separator.
type requestTarget struct {
	// full is the path with the query.
	full string
	path string
}

// parseTarget returns the target of a request. An absolute target loses its scheme and host, which
// net/http has moved to r.Host. A path with "." or ".." segments, encoded or not, matches no route: an
// Upstream may resolve them to a path of another route.
func parseTarget(r *http.Request) (requestTarget, *core.Refusal) {
	full := r.RequestURI
	if !strings.HasPrefix(full, "/") {
		if r.URL.Scheme == "" || r.URL.Host == "" { // "*" or the authority of a CONNECT
			return requestTarget{}, core.NewRefusal(core.CodeUnknownRoute, "the target of the request is not a path")
		}
		_, afterScheme, _ := strings.Cut(full, "://")
		full = "/"
		if end := strings.IndexAny(afterScheme, "/?"); end >= 0 {
			full = afterScheme[end:]
		}
		if full[0] == '?' {
			full = "/" + full
		}
	}
	path, _, _ := strings.Cut(full, "?")
	if hasDotSegment(r.URL.Path) {
		return requestTarget{}, core.NewRefusal(core.CodeUnknownRoute, "the path has a segment \".\" or \"..\"")
	}
	return requestTarget{full: full, path: path}, nil
}

// hasDotSegment reports whether some server may resolve a segment of a decoded path. Some take "\" for a
// separator, and some remove path parameters first.
func hasDotSegment(path string) bool {
	isSeparator := func(c rune) bool { return c == '/' || c == '\\' }
	return slices.ContainsFunc(strings.FieldsFunc(path, isSeparator), func(segment string) bool {
		name, _, _ := strings.Cut(segment, ";")
		return name == "." || name == ".."
	})
}
