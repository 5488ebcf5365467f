package claims

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Layout of a shard object, integers as unsigned varints unless noted:
//
//	version of the layout (1 byte)
//	base: the lowest kept time in the object, in Unix seconds
//	number of owners, then for each: length of id, id, incarnation
//	number of claims, then for each:
//	  key digest (16 bytes), body digest (8 bytes), nonce (8 bytes),
//	  flags (1 byte), kept time - base, owner index,
//	  status (with flagOutcome only),
//	  request id: 16 bytes with flagUUID, otherwise length and text
//	xxhash64 of all bytes before (8 bytes, big-endian)
const formatVersion = 1

const (
	flagOutcome = 1 << iota
	flagUUID
)

// maxRequestIDBytes bounds the request id in a claim.
const maxRequestIDBytes = 64

// Upper bounds of the encoded sizes. claimMaxSize leaves room for the outcome, so
// that an outcome always fits into an object that holds its claim.
const (
	objectMaxSize = 1 + 10 + 5 + 5 + 8
	claimMaxSize  = 16 + 8 + 8 + 1 + 5 + 3 + 3 + 1
	ownerMaxSize  = 1 + 10
)

type (
	keyDigest  [16]byte
	bodyDigest [8]byte
	nonce      [8]byte
)

// encodedRequestID is a request id in its encoded form: a UUID takes 16 bytes.
type encodedRequestID struct {
	encoded string
	isUUID  bool
}

func encodeRequestID(id core.RequestID) encodedRequestID {
	u, err := uuid.Parse(string(id))
	if err != nil || u.String() != string(id) {
		return encodedRequestID{encoded: string(id)}
	}
	return encodedRequestID{encoded: string(u[:]), isUUID: true}
}

func (n encodedRequestID) id() core.RequestID {
	if !n.isUUID {
		return core.RequestID(n.encoded)
	}
	return core.RequestID(uuid.UUID([]byte(n.encoded)).String())
}

// entry is one claim in an object.
type entry struct {
	key        keyDigest
	body       bodyDigest
	nonce      nonce
	retainFrom int64 // Unix seconds from which the retention counts
	owner      int   // index in object.owners
	request    encodedRequestID
	// outcome is valid when hasOutcome is set.
	hasOutcome bool
	outcome    Outcome
}

func (e *entry) maxEncodedSize() int { return claimMaxSize + len(e.request.encoded) }

// object is the decoded content of a shard object.
type object struct {
	owners  []core.InstanceRef
	entries []entry
	index   map[keyDigest]int // position in entries
	size    int               // upper bound of the encoded size
}

func newObject() *object {
	return &object{index: map[keyDigest]int{}, size: objectMaxSize}
}

func (o *object) find(key keyDigest) *entry {
	at, found := o.index[key]
	if !found {
		return nil
	}
	return &o.entries[at]
}

// ownerIndex returns the index of an owner and adds it when it is new.
func (o *object) ownerIndex(ref core.InstanceRef) int {
	if at := slices.Index(o.owners, ref); at >= 0 {
		return at
	}
	o.owners = append(o.owners, ref)
	o.size += ownerMaxSize + len(ref.ID)
	return len(o.owners) - 1
}

// entryUpdate changes the claim at a position of an object.
type entryUpdate struct {
	index   int
	remove  bool
	outcome Outcome
}

// objectUpdate is a set of changes to an object.
type objectUpdate struct {
	updates []entryUpdate // sorted by position, one for each position
	added   []entry       // keys that the object does not hold after the removals
}

// each calls fn for every claim of the object after the delta. fn must not keep or
// change the claim.
func (o *object) each(d objectUpdate, fn func(e *entry)) {
	patches := d.updates
	for at := range o.entries {
		if len(patches) == 0 || patches[0].index != at {
			fn(&o.entries[at])
			continue
		}
		if !patches[0].remove {
			e := o.entries[at]
			e.hasOutcome = true
			e.outcome = patches[0].outcome
			fn(&e)
		}
		patches = patches[1:]
	}
	for at := range d.added {
		fn(&d.added[at])
	}
}

// apply changes the object. Without removals it costs no more than the delta.
func (o *object) apply(d objectUpdate) {
	if slices.ContainsFunc(d.updates, func(p entryUpdate) bool { return p.remove }) {
		kept := make([]entry, 0, len(o.entries)+len(d.added))
		o.each(d, func(e *entry) { kept = append(kept, *e) })
		o.setEntries(kept)
		return
	}
	for _, p := range d.updates {
		o.entries[p.index].hasOutcome = true
		o.entries[p.index].outcome = p.outcome
	}
	for _, e := range d.added {
		o.append(e)
	}
}

// removeOlderThan removes the claims that are kept since before a time.
func (o *object) removeOlderThan(before int64) {
	expired := func(e entry) bool { return e.retainFrom < before }
	if slices.ContainsFunc(o.entries, expired) {
		o.setEntries(slices.DeleteFunc(o.entries, expired))
	}
}

// setEntries sets the claims and drops the owners that hold none.
func (o *object) setEntries(entries []entry) {
	owners := o.owners
	*o = object{index: make(map[keyDigest]int, len(entries)), size: objectMaxSize}
	for _, e := range entries {
		e.owner = o.ownerIndex(owners[e.owner])
		o.append(e)
	}
}

func (o *object) append(e entry) {
	o.index[e.key] = len(o.entries)
	o.entries = append(o.entries, e)
	o.size += e.maxEncodedSize()
}

// encode returns the object after the delta in the layout above.
func (o *object) encode(d objectUpdate) []byte {
	base := int64(1<<63 - 1)
	count := 0
	o.each(d, func(e *entry) {
		base = min(base, e.retainFrom)
		count++
	})
	if count == 0 {
		base = 0
	}
	out := make([]byte, 0, o.size+len(d.added)*(claimMaxSize+maxRequestIDBytes))
	out = append(out, formatVersion)
	out = binary.AppendUvarint(out, uint64(base))
	out = binary.AppendUvarint(out, uint64(len(o.owners)))
	for _, owner := range o.owners {
		out = appendText(out, string(owner.ID))
		out = binary.AppendUvarint(out, uint64(owner.Incarnation))
	}
	out = binary.AppendUvarint(out, uint64(count))
	o.each(d, func(e *entry) { out = appendEntry(out, e, base) })
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

func appendEntry(out []byte, e *entry, base int64) []byte {
	out = append(out, e.key[:]...)
	out = append(out, e.body[:]...)
	out = append(out, e.nonce[:]...)
	out = append(out, e.flags())
	out = binary.AppendUvarint(out, uint64(e.retainFrom-base))
	out = binary.AppendUvarint(out, uint64(e.owner))
	if e.hasOutcome {
		out = binary.AppendUvarint(out, uint64(e.outcome.Status))
	}
	if e.request.isUUID {
		return append(out, e.request.encoded...)
	}
	return appendText(out, e.request.encoded)
}

func (e *entry) flags() byte {
	var flags byte
	if e.hasOutcome {
		flags |= flagOutcome
	}
	if e.request.isUUID {
		flags |= flagUUID
	}
	return flags
}

func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

var errTruncated = errors.New("shard object ends early")

// decode reads an object. An object that it can't read must not be replaced.
func decode(data []byte) (*object, error) {
	if len(data) < 9 {
		return nil, errTruncated
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("shard object has layout %d, this process reads layout %d", data[0], formatVersion)
	}
	body := data[:len(data)-8]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[len(body):]) {
		return nil, errors.New("shard object has a wrong checksum")
	}
	// All texts of the object share one string.
	r := reader{rest: string(body[1:])}
	base := int64(r.number())
	o := newObject()
	for range r.count(2) {
		o.ownerIndex(core.InstanceRef{
			ID:          core.InstanceID(r.text()),
			Incarnation: core.Incarnation(r.number()),
		})
	}
	claims := r.count(claimMaxSize - 11)
	o.entries = make([]entry, 0, claims)
	o.index = make(map[keyDigest]int, claims)
	for range claims {
		o.append(r.entry(base))
	}
	if r.failed || r.rest != "" {
		return nil, errTruncated
	}
	for _, e := range o.entries {
		if e.owner < 0 || e.owner >= len(o.owners) {
			return nil, fmt.Errorf("shard object names owner %d of %d", e.owner, len(o.owners))
		}
	}
	return o, nil
}

// reader consumes an encoded object. After a failure it returns zeros.
type reader struct {
	rest   string
	failed bool
}

func (r *reader) bytes(n int) string {
	if n < 0 || n > len(r.rest) {
		r.failed = true
		r.rest = ""
		return ""
	}
	text := r.rest[:n]
	r.rest = r.rest[n:]
	return text
}

func (r *reader) number() uint64 {
	var n uint64
	for shift := 0; shift < 64; shift += 7 {
		text := r.bytes(1)
		if text == "" {
			return 0
		}
		n |= uint64(text[0]&0x7f) << shift
		if text[0] < 0x80 {
			return n
		}
	}
	r.failed = true
	return 0
}

// count reads a number of items of at least size bytes each.
func (r *reader) count(size int) int {
	n := r.number()
	if n > uint64(len(r.rest)/size) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	return r.bytes(int(n))
}

func (r *reader) entry(base int64) entry {
	var e entry
	copy(e.key[:], r.bytes(len(e.key)))
	copy(e.body[:], r.bytes(len(e.body)))
	copy(e.nonce[:], r.bytes(len(e.nonce)))
	var flags byte
	if text := r.bytes(1); text != "" {
		flags = text[0]
	}
	e.retainFrom = base + int64(r.number())
	e.owner = int(r.number())
	if flags&flagOutcome != 0 {
		e.hasOutcome = true
		e.outcome = Outcome{Status: int(r.number()), Ran: core.MayHaveRun}
	}
	if flags&flagUUID != 0 {
		e.request = encodedRequestID{encoded: r.bytes(16), isUUID: true}
	} else {
		e.request = encodedRequestID{encoded: r.text()}
	}
	return e
}
