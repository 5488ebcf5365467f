package upstream

import "net/http"

// ForwardedHeader returns the headers of a caller that an Upstream would see.
func ForwardedHeader(from http.Header) http.Header { return copyAllowed(from, requestHeaders) }
