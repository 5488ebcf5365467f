package httphead

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport returns a RoundTripper that fails where base accepts a response with a malformed head. Only
// what net/http keeps of a head is checked, which is neither a folded line nor Transfer-Encoding of HTTP/1.0.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

// Client is http.DefaultClient on such a transport.
var Client = &http.Client{Transport: Transport(http.DefaultTransport)}

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var informational error // kept here, since a hook of the caller decides what net/http gets
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		informational = errors.Join(informational, checkFields(header))
		return informational
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(informational, check(response)); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections is for http.Client.
func (t transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// check checks what net/http has kept of a head.
func check(response *http.Response) error {
	version := response.Proto
	if response.TLS != nil && response.ProtoMajor == 2 {
		version = "HTTP/1.1" // HTTP/2 has no status line, but the same statuses
	}
	if _, _, err := checkStatusLine([]byte(version + " " + response.Status)); err != nil {
		return err
	}
	return checkFields(response.Header)
}

func checkFields(header map[string][]string) error {
	for name := range header {
		if err := checkFieldName([]byte(name)); err != nil {
			return err
		}
	}
	return nil
}
