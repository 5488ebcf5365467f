package claims

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func drawObject(t *rapid.T) *object {
	o := newObject()
	for range rapid.IntRange(0, 20).Draw(t, "claims") {
		var e entry
		copy(e.key[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
		copy(e.nonce[:], rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "nonce"))
		if o.find(e.key) != nil {
			continue
		}
		e.retainFrom = rapid.Int64Range(1_700_000_000, 1_900_000_000).Draw(t, "kept")
		e.owner = o.ownerIndex(core.InstanceRef{
			ID:          core.InstanceID(rapid.StringN(0, 9, 30).Draw(t, "owner")),
			Incarnation: core.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		})
		name := rapid.OneOf(rapid.Just("01890a5d-ac96-774b-bcce-b302099a8057"), rapid.StringN(0, 16, 64))
		e.request = encodeRequestID(core.RequestID(name.Draw(t, "request")))
		if rapid.Bool().Draw(t, "done") {
			e.hasOutcome = true
			e.outcome = Outcome{Status: rapid.IntRange(0, 999).Draw(t, "status"), Ran: core.MayHaveRun}
		}
		o.append(e)
	}
	return o
}

// Guards against a claim that another Instance decodes differently, and against an
// object that outgrows the size that is checked against the limit.
func TestObjectRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		o := drawObject(t)
		data := o.encode(objectUpdate{})
		is.True(len(data) <= o.size)
		got, err := decode(data)
		is.NoErr(err)
		is.True(slices.Equal(got.entries, o.entries))
		is.True(slices.Equal(got.owners, o.owners))
		for _, e := range got.entries {
			is.Equal(encodeRequestID(e.request.id()), e.request)
		}
	})
}

// Guards against a corrupt object, or one of a later format version, that is
// decoded as an object without claims and then replaced.
func TestDecodeRejectsDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := drawObject(t).encode(objectUpdate{})
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if _, err := decode(data); err == nil {
			t.Fatalf("decode accepted a change at byte %d", at)
		}
		if _, err := decode(data[:at]); err == nil {
			t.Fatalf("decode accepted %d bytes of %d", at, len(data))
		}
	})
}
