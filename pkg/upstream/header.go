package upstream

import (
	"errors"
	"net/http"
	"net/url"
	"regexp"
	"strings"
)

// requestHeaders is the allow list of caller headers that an Upstream may receive. No
// Upstream may receive a caller's key (G4), so headers that can carry a credential
// must not be added.
var requestHeaders = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type",
	"Idempotency-Key", "If-Match", "If-None-Match", "Traceparent", "X-Request-Id",
}

// responseHeaders is the allow list of Upstream headers that a caller may receive.
var responseHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type",
	"Etag", "Last-Modified", "Location", "Retry-After",
}

// callerKeyPattern matches the text of a caller's key up to its secret part.
var callerKeyPattern = regexp.MustCompile(`(?i)rsk_[^\s_/?&=]+_`)

var (
	errInvalidPath = errors.New("path must be absolute, without host and dot segments")
	errKeyInPath   = errors.New("path or query holds the text of a caller's key")
)

// copyAllowed returns the headers of from that are on the list, without values that
// contain a caller's key.
func copyAllowed(from http.Header, list []string) http.Header {
	to := make(http.Header, len(list))
	for _, name := range list {
		for _, value := range from[name] {
			if !callerKeyPattern.MatchString(value) {
				to[name] = append(to[name], value)
			}
		}
	}
	return to
}

// joinPath returns base extended by a caller's path and query. The result always has
// the host of base.
func joinPath(base *url.URL, path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return nil, errInvalidPath
	}
	ref, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	if ref.Host != "" || ref.Scheme != "" {
		return nil, errInvalidPath
	}
	for segment := range strings.SplitSeq(ref.Path, "/") {
		if segment == "." || segment == ".." {
			return nil, errInvalidPath
		}
	}
	if containsCallerKey(ref) {
		return nil, errKeyInPath
	}
	joined := *base
	prefix := strings.TrimSuffix(base.Path, "/")
	joined.Path = prefix + ref.Path
	joined.RawPath = ""
	if ref.RawPath != "" {
		joined.RawPath = strings.TrimSuffix(base.EscapedPath(), "/") + ref.RawPath
	}
	joined.RawQuery = ref.RawQuery
	return &joined, nil
}

func containsCallerKey(ref *url.URL) bool {
	query, err := url.QueryUnescape(ref.RawQuery)
	if err != nil {
		query = ref.RawQuery
	}
	return callerKeyPattern.MatchString(ref.Path) || callerKeyPattern.MatchString(query)
}
