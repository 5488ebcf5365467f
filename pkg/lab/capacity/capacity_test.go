package capacity

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a run that counts nothing: a loaded fleet has to complete its
// requests, and the result must list messages, store calls and steps.
func TestMeasureCountsALoadedFleet(t *testing.T) {
	is := is.New(t)
	r, err := Measure(Options{Seed: 1, Instances: 8, PerInstance: 10, Accounts: 50, Seconds: 2})
	is.NoErr(err)
	is.True(r.Requests >= 150)              // 8 Instances, 10 requests a second, 2 s
	is.True(r.Completed >= r.Requests*9/10) // at least 90%
	var out bytes.Buffer
	is.NoErr(r.Print(&out))
	for _, kind := range []string{"heartbeat", "load", "loan", "slot", "read root", "read list", "router.RequestArrived"} {
		if !strings.Contains(out.String(), kind) {
			t.Errorf("%s is missing in\n%s", kind, out.String())
		}
	}
}
