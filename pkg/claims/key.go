package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// digestKey returns the digest of an account and its key. It includes the length of
// the account, so that ("ab", "c") and ("a", "bc") differ.
func digestKey(account core.AccountID, key string) keyDigest {
	text := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(account)))
	text = append(text, account...)
	text = append(text, key...)
	sum := sha256.Sum256(text)
	return keyDigest(sum[:16])
}

// shardOf returns the index of the shard of a key. All Instances must use the same
// number of shards.
func (k keyDigest) shardOf(shards int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(shards))
}

// keyTime returns the time in a UUID version 7 key (RFC 9562).
func keyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(u[:8]) >> 16
	return time.UnixMilli(int64(ms)), true
}

// ceilSeconds returns t in Unix seconds, rounded up.
func ceilSeconds(t time.Time) int64 {
	return t.Add(time.Second - 1).Unix()
}
