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

// Format of a shard object. Integers are unsigned varints unless noted.
//
//	format version (1 byte)
//	base: the lowest retention start in the object, in Unix seconds
//	number of owners, then for each: length of id, id, incarnation
//	number of claims, then for each:
//	  key digest (16 bytes), body digest (8 bytes), nonce (8 bytes),
//	  flags (1 byte), retention start - base, owner index,
//	  status (with flagOutcome only),
//	  request id: 16 bytes with flagUUID, otherwise length and text
//	xxhash64 of all preceding bytes (8 bytes, big-endian)
const formatVersion = 1

const (
	flagOutcome = 1 << iota
	flagUUID
)

// maxRequestIDBytes is the maximum length of the request id in a claim.
const maxRequestIDBytes = 64

// Upper bounds of the encoded sizes. claimMaxSize includes the outcome, so that an
// outcome always fits into an object that holds its claim.
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

// encodedRequestID is a request id as stored. A UUID takes 16 bytes.
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
	retainFrom int64 // Unix time in seconds at which the retention starts
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
	index   map[keyDigest]int // index in entries by key
	size    int               // upper bound of the encoded size
}

func newObject() *object {
	return &object{index: map[keyDigest]int{}, size: objectMaxSize}
}

func (o *object) find(key keyDigest) *entry {
	i, found := o.index[key]
	if !found {
		return nil
	}
	return &o.entries[i]
}

// ownerIndex returns the index of an owner and adds it when it is new.
func (o *object) ownerIndex(ref core.InstanceRef) int {
	if i := slices.Index(o.owners, ref); i >= 0 {
		return i
	}
	o.owners = append(o.owners, ref)
	o.size += ownerMaxSize + len(ref.ID)
	return len(o.owners) - 1
}

// entryUpdate sets the outcome of one claim or removes it.
type entryUpdate struct {
	index   int
	remove  bool
	outcome Outcome
}

// objectUpdate is a set of updates to an object.
type objectUpdate struct {
	updates []entryUpdate // sorted by index, at most one for each
	added   []entry       // their keys are not in the object after the removals
}

// each calls fn for every claim that the object has after the update. fn must not
// keep or change the claim.
func (o *object) each(update objectUpdate, fn func(e *entry)) {
	updates := update.updates
	for i := range o.entries {
		if len(updates) == 0 || updates[0].index != i {
			fn(&o.entries[i])
			continue
		}
		if !updates[0].remove {
			e := o.entries[i]
			e.hasOutcome = true
			e.outcome = updates[0].outcome
			fn(&e)
		}
		updates = updates[1:]
	}
	for i := range update.added {
		fn(&update.added[i])
	}
}

// apply applies the update. Without removals its cost depends only on the size of
// the update.
func (o *object) apply(update objectUpdate) {
	if slices.ContainsFunc(update.updates, func(u entryUpdate) bool { return u.remove }) {
		remaining := make([]entry, 0, len(o.entries)+len(update.added))
		o.each(update, func(e *entry) { remaining = append(remaining, *e) })
		o.setEntries(remaining)
		return
	}
	for _, u := range update.updates {
		o.entries[u.index].hasOutcome = true
		o.entries[u.index].outcome = u.outcome
	}
	for _, e := range update.added {
		o.append(e)
	}
}

// removeOlderThan removes the claims whose retention started before the given Unix
// time.
func (o *object) removeOlderThan(before int64) {
	expired := func(e entry) bool { return e.retainFrom < before }
	if slices.ContainsFunc(o.entries, expired) {
		o.setEntries(slices.DeleteFunc(o.entries, expired))
	}
}

// setEntries replaces the claims and removes the owners without claims.
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

// encode returns the object after the update in the format above.
func (o *object) encode(update objectUpdate) []byte {
	base := int64(1<<63 - 1)
	count := 0
	o.each(update, func(e *entry) {
		base = min(base, e.retainFrom)
		count++
	})
	if count == 0 {
		base = 0
	}
	out := make([]byte, 0, o.size+len(update.added)*(claimMaxSize+maxRequestIDBytes))
	out = append(out, formatVersion)
	out = binary.AppendUvarint(out, uint64(base))
	out = binary.AppendUvarint(out, uint64(len(o.owners)))
	for _, owner := range o.owners {
		out = appendString(out, string(owner.ID))
		out = binary.AppendUvarint(out, uint64(owner.Incarnation))
	}
	out = binary.AppendUvarint(out, uint64(count))
	o.each(update, func(e *entry) { out = appendEntry(out, e, base) })
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
	return appendString(out, e.request.encoded)
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

func appendString(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

var errTruncated = errors.New("shard object is truncated")

// decode parses a shard object. The caller must not replace an object that can't be
// decoded.
func decode(data []byte) (*object, error) {
	if len(data) < 9 {
		return nil, errTruncated
	}
	if data[0] != formatVersion {
		return nil, fmt.Errorf("shard object has format version %d, this process reads version %d", data[0], formatVersion)
	}
	body := data[:len(data)-8]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[len(body):]) {
		return nil, errors.New("shard object has a wrong checksum")
	}
	// All strings of the object share one allocation.
	r := reader{rest: string(body[1:])}
	base := int64(r.uvarint())
	o := newObject()
	for range r.count(2) {
		o.ownerIndex(core.InstanceRef{
			ID:          core.InstanceID(r.string()),
			Incarnation: core.Incarnation(r.uvarint()),
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
			return nil, fmt.Errorf("shard object has owner index %d, but %d owners", e.owner, len(o.owners))
		}
	}
	return o, nil
}

// reader parses an encoded object. After an error it returns zero values.
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

func (r *reader) uvarint() uint64 {
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

// count reads the number of the following items, each of at least size bytes.
func (r *reader) count(size int) int {
	n := r.uvarint()
	if n > uint64(len(r.rest)/size) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *reader) string() string {
	n := r.uvarint()
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
	e.retainFrom = base + int64(r.uvarint())
	e.owner = int(r.uvarint())
	if flags&flagOutcome != 0 {
		e.hasOutcome = true
		e.outcome = Outcome{Status: int(r.uvarint()), Ran: core.MayHaveRun}
	}
	if flags&flagUUID != 0 {
		e.request = encodedRequestID{encoded: r.bytes(16), isUUID: true}
	} else {
		e.request = encodedRequestID{encoded: r.string()}
	}
	return e
}
