package plain

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a fake that loses the effect of a request along with its response, or
// that executes a request that it refuses.
func TestEffects(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer s.Close()
	url := "http://" + l.Addr().String()
	call := func() error {
		response, err := http.Post(url+"/call", "text/plain", strings.NewReader("order"))
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	is.NoErr(call())
	is.Equal(s.Count("order"), 1)
	s.SetFaults(Faults{LoseResponses: true})
	is.True(call() != nil)
	is.Equal(s.Count("order"), 2)
	s.SetFaults(Faults{Refuse: true})
	is.NoErr(call())
	is.Equal(s.Count("order"), 2)
	response, err := http.Post(url+"/lab/faults", "application/json", strings.NewReader(`{"crash":true}`))
	is.NoErr(err)
	response.Body.Close()
	response, err = http.Get(url + "/lookup/piece")
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), `{"name":"piece","value":"value of \"piece\""}`+"\n")
	is.Equal(len(s.Executions()), 3)
}
