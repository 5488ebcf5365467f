package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a route that is chosen by another form of the path than the Upstream gets.
func TestRouteIsChosenByThePathThatIsForwarded(t *testing.T) {
	routing := plainRouting(1)
	routing.Routes, routing.Services = nil, nil
	var upstreams []catalog.Upstream
	for prefix, service := range map[string]core.ServiceName{"/order/": "orders", "/order/2026/": "proofs", "/secret/": "secrets"} {
		routing.Routes = append(routing.Routes, config.HostRoute{
			Name: string(service), Host: "h", Prefix: prefix, RetrySafety: config.RetryNever, Timeout: 5 * time.Second, LatencyTarget: time.Second,
			MaxUpstreams: 1, Public: true, ServiceShares: []config.ServiceShare{{Service: service, Weight: 1}},
		})
		routing.Services = append(routing.Services, config.HostedService{Name: service})
		upstreams = append(upstreams, catalog.Upstream{
			ID: core.UpstreamID(service), Service: service, DataCentre: "a", Slots: 10,
			Addr: serveRaw(t, func(r *http.Request) string {
				body := fmt.Sprintf("%s %s %s", service, r.Host, r.RequestURI)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
			}),
		})
	}
	settings, _, _ := startDaemon(t, newFakeStore(routing, upstreams...))
	for n, test := range []struct {
		target string
		status int
		answer string // of the Upstream: its service, the host and the target
	}{
		{"/order/12", 200, "orders h /order/12"},
		{"/order/2026/12", 200, "proofs h /order/2026/12"},
		{"/order/2026%2F12", 200, "orders h /order/2026%2F12"},
		{"/order/2026%2f12", 200, "orders h /order/2026%2f12"},
		{"/order%2F12", 404, ""},
		{"/%6Frder/12", 404, ""},
		{"/order/%7E%zz", 400, ""},
		{"//order/12", 404, ""},
		{"/order//12", 200, "orders h /order//12"},
		{"/order//2026/12", 200, "orders h /order//2026/12"},
		{"/order/2026;v=1/12", 200, "orders h /order/2026;v=1/12"},
		{"/order;v=1/12", 404, ""},
		{"/order/./12", 404, ""},
		{"/order/../secret/12", 404, ""},
		{"/order/..", 404, ""},
		{"/order/%2e%2e/secret/12", 404, ""},
		{"/order/%2E./secret/12", 404, ""},
		{"/order/x%2F..%2F..%2Fsecret/12", 404, ""},
		{"/order/..;v=1/secret/12", 404, ""},
		{"/order/..%5Csecret/12", 404, ""},
		{"/order/...", 200, "orders h /order/..."},
		{"/order/12?next=/order/2026/../x%2F", 200, "orders h /order/12?next=/order/2026/../x%2F"},
		{"/order/a|b\"{c}", 200, "orders h /order/a|b\"{c}"},
		{"/order/caf\xc3\xa9", 200, "orders h /order/caf\xc3\xa9"},
		{"http://h/order/2026%2F12?a=b", 200, "orders h /order/2026%2F12?a=b"},
		{"http://h/order/2026/12", 200, "proofs h /order/2026/12"},
		{"http://other/order/12", 404, ""},
		{"http://h", 404, ""},
		{"http://h?a=/order/12", 404, ""},
		{"*", 404, ""},
		{"h:80", 404, ""},
	} {
		t.Run(test.target, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", settings.CallerAddr)
			is.NoErr(err)
			defer conn.Close()
			method := "POST"
			switch test.target {
			case "*":
				method = "OPTIONS"
			case "h:80":
				method = "CONNECT"
			}
			fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: r%d\r\nContent-Length: 2\r\n\r\nhi", method, test.target, n)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			if test.status == http.StatusOK {
				is.Equal(string(body), test.answer)
			}
		})
	}
}
