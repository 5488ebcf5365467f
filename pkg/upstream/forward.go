package upstream

import "net/http"

// FilterHeader returns the headers of a caller that an Upstream may receive.
func FilterHeader(from http.Header) http.Header { return copyAllowed(from, requestHeaders) }
