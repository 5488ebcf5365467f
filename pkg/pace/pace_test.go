package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const second = core.Instant(time.Second)

func replicas(n int) []catalog.Upstream {
	var list []catalog.Upstream
	for i := range n {
		id := core.UpstreamID(fmt.Sprintf("u%d", i))
		list = append(list, catalog.Upstream{ID: id, Addr: string(id), Service: "s", Slots: 6, Born: 1})
	}
	return list
}

func newRegistry(now core.Instant, n int) *Registry {
	r := New()
	r.SetUpstreams(now, replicas(n))
	return r
}

// observe reports ten answers of each of three Upstreams, of which u0 takes factor times as long.
func observe(r *Registry, now core.Instant, factor float64) {
	for range 10 {
		for i := range 3 {
			seconds := 0.1
			if i == 0 {
				seconds *= factor
			}
			r.ObserveDuration(now, core.UpstreamID(fmt.Sprintf("u%d", i)), now, seconds, 1)
		}
	}
}

// Guards against an Upstream that is taken as usual although its answers take longer, and against one
// that is never tried again because it gets no requests.
func TestMeasuredPaceIsRelativeAndDecays(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 3)
	observe(r, second, 1.7)
	is.True(r.Pace(second, "u0") > 1.4 && r.Pace(second, "u0") < 1.8)
	is.Equal(r.Pace(second, "u1"), 1.0)
	is.Equal(r.Pace(61*second, "u0"), 1.0)
	r.Informed(200*second, func(core.UpstreamID, float64, float64) {})
	is.Equal(len(r.informed), 0)
}

// Guards against Instances that prefer the same Upstream for a difference within the error of the
// measurement, and against a service that is slow as a whole and counts as uneven.
func TestCloseEstimatesAreEqual(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 3)
	observe(r, second, 1.15)
	for _, id := range []core.UpstreamID{"u0", "u1", "u2"} {
		is.Equal(r.Pace(second, id), 1.0)
	}
	for now := 2 * second; now < 4*second; now = now.Add(100 * time.Millisecond) {
		for i := range 3 {
			r.ObserveDuration(now, core.UpstreamID(fmt.Sprintf("u%d", i)), now, 0.5, 1)
		}
	}
	is.Equal(r.Pace(4*second, "u0"), 1.0)
}

// Guards against a single figure, or figures that can't be, that decide where all requests go.
func TestOneFigureIsBounded(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 3)
	observe(r, second, 1)
	observe(r, second, 1)
	for _, seconds := range []float64{1e9, 1e-9} {
		r.ObserveDuration(second, "u0", second, seconds, 1)
		is.True(math.Abs(math.Log(r.Pace(second, "u0"))) <= math.Log(resolution)*1.01)
		observe(r, second, 1)
		is.Equal(r.Pace(second, "u0"), 1.0)
	}
	for _, seconds := range []float64{0, -1, math.Inf(1), math.NaN()} {
		r.ObserveDuration(second, "u1", second, seconds, 1)
		is.Equal(r.Pace(second, "u1"), 1.0)
	}
	state := func(pace float64) { r.ObserveLoad(second, "u2", "u2", second, Load{Stated: true, Pace: pace}) }
	state(1e6)
	is.True(r.Pace(second, "u2") <= maxStatedStep*1.01)
	for range 20 {
		state(1e6)
	}
	is.True(r.Pace(second, "u2") <= maxStatedSlower*resolution) // measured as usual
	for range 20 {
		state(0.01)
	}
	is.True(r.Pace(second, "u2") >= minStated/resolution)
}

// Guards against a stated figure that is used for longer than it is true, and against requests that
// pile up at a slow Upstream before the answer to the first of them.
func TestStatedPaceIsUpToDateAndShortLived(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 2)
	for range 3 {
		is.True(r.ObserveLoad(second, "u0", "u0", second, Load{Stated: true, Pace: 2.5}))
	}
	is.True(r.Pace(second, "u0") > 2)
	is.Equal(r.Pace(4*second, "u0"), 1.0)
	is.True(r.Suspected(3*second, "u0") > 2)
	is.Equal(r.Suspected(5*second, "u0"), 1.0)
	is.True(!r.ObserveLoad(second, "u0", "u0", second, Load{}))
	is.True(!r.ObserveLoad(second, "unknown", "u0", second, Load{Stated: true, Pace: 2}))
}

// Guards against a new process that inherits the pace of an earlier one, also by a late answer to a
// request that was sent before.
func TestRestartForgets(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 3)
	observe(r, second, 4)
	is.True(r.Pace(second, "u0") > 1.5)
	r.SetUpstreams(second, replicas(3))
	is.True(r.Pace(second, "u0") > 1.5) // the same process
	restarted := replicas(3)
	restarted[0].Born = 2
	r.SetUpstreams(2*second, restarted)
	is.Equal(r.Pace(2*second, "u0"), 1.0)
	for range 10 {
		r.ObserveDuration(2*second, "u0", second, 0.4, 1)
		is.True(!r.ObserveLoad(2*second, "u0", "u0", second, Load{Stated: true, Pace: 4}))
		is.True(!r.ObserveLoad(2*second, "u0", "elsewhere", 2*second, Load{Stated: true, Pace: 4}))
	}
	is.Equal(r.Pace(2*second, "u0"), 1.0)
}

// Guards against a log line for each short period of slowness, and against a log that fills up when many
// Upstreams turn slow.
func TestTransitionsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRegistry(second, 20)
	list, leftOut, calls := 0, 0, 0
	for now := second; now < 30*second; now = now.Add(100 * time.Millisecond) {
		for i := range 20 {
			pace := 1.0
			if i < 8 && now > 10*second || i == 9 && now%(5*second) < second {
				pace = 4
			}
			r.ObserveLoad(now, core.UpstreamID(fmt.Sprintf("u%d", i)), fmt.Sprintf("u%d", i), now, Load{Stated: true, Pace: pace})
		}
		turned, more := r.Transitions(now)
		for _, transition := range turned {
			is.True(transition.Slow)
			is.True(transition.Upstream != "u9")
		}
		list, leftOut, calls = list+len(turned), leftOut+more, calls+1
	}
	is.Equal(list, maxTransitionsPerCheck)
	is.Equal(list+leftOut, 8)
	is.Equal(r.Spreads(30 * second)[0].Slow, 8)
}

// Guards against an Instance that fails without estimates.
func TestNilRegistryTakesAllAsUsual(t *testing.T) {
	is := is.New(t)
	var r *Registry
	r.SetUpstreams(0, replicas(1))
	r.ObserveDuration(0, "u0", 0, 1, 1)
	is.True(!r.ObserveLoad(0, "u0", "u0", 0, Load{Stated: true, Pace: 3}))
	is.Equal(r.Pace(0, "u0"), 1.0)
	is.Equal(r.Suspected(0, "u0"), 1.0)
	is.Equal(r.Usual(Group{}), time.Duration(0))
	is.Equal(len(r.Spreads(0)), 0)
}
