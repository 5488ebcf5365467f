package measure

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against results that depend on anything but the seed, such as map iteration
// order or the number of concurrent runs.
func TestSameSeedGivesTheSameFigures(t *testing.T) {
	is := is.New(t)
	var first string
	for _, workers := range []int{1, 4} {
		var out bytes.Buffer
		err := Measure(&out, Options{
			Scenarios: []string{"load 1.0", "greedy account", "engine crash"},
			Variants:  []string{"rhubarbsill", "round robin", "no reservation"},
			Seeds:     []uint{1}, Length: 3 * time.Second, Workers: workers,
		})
		is.NoErr(err)
		if first == "" {
			first = out.String()
		}
		is.Equal(out.String(), first)
	}
	is.Equal(strings.Count(first, "\n"), 2+2+2*3*3)
}

// Guards against a workload that exceeds the capacity or the accounts' rates by
// itself: at half load no request inside its rate may be refused, and at most 5% may
// miss a target.
func TestHalfLoadIsServed(t *testing.T) {
	for _, d := range []Deployment{Division(), Cooperative()} {
		is := is.New(t)
		result, err := Run{
			Deployment: d, Scenario: Scenario{Name: "half", Load: 0.5}, Variant: Variants()[0], Seed: 2, Length: 20 * time.Second,
		}.Do()
		is.NoErr(err)
		is.True(result.Requests > 10)
		is.Equal(result.RefusedInside, 0.0)
		is.True(result.Good > 0.95)
	}
}

// Guards against a selection that matches no run and reports no error.
func TestUnknownSelection(t *testing.T) {
	is := is.New(t)
	err := Measure(&bytes.Buffer{}, Options{Scenarios: []string{"load 9"}, Seeds: []uint{1}})
	is.True(err != nil)
}
