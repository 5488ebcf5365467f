package keys

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// ContainedIn reports whether text contains the secret, plain, in JSON escapes or
// percent-encoded. It ignores case, since some encoders change it.
func (s Secret) ContainedIn(text []byte) bool {
	if s.text == nil || *s.text == "" {
		return false
	}
	needle := []byte(strings.ToLower(*s.text))
	plain := bytes.ToLower(text)
	for range maxDecodeRounds {
		if bytes.Contains(plain, needle) {
			return true
		}
		if !bytes.ContainsAny(plain, `\%`) {
			return false
		}
		plain = bytes.ToLower(unescape(plain))
	}
	return bytes.Contains(plain, needle)
}

// maxDecodeRounds bounds the nested encodings that are decoded, such as a
// percent-encoded query that was percent-encoded again.
const maxDecodeRounds = 3

// unescape decodes \uXXXX and %XX escapes and removes single backslashes. Invalid
// escapes are no error; their text is kept.
func unescape(text []byte) []byte {
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+5 < len(text) && text[i+1] == 'u':
			if r, ok := hexValue(text[i+2 : i+6]); ok {
				out = utf8.AppendRune(out, rune(r))
				i += 5
				continue
			}
		case text[i] == '\\':
			continue
		case text[i] == '%' && i+2 < len(text):
			if b, ok := hexValue(text[i+1 : i+3]); ok {
				out = append(out, byte(b))
				i += 2
				continue
			}
		}
		out = append(out, text[i])
	}
	return out
}

func hexValue(digits []byte) (int, bool) {
	value := 0
	for _, d := range digits {
		switch {
		case d >= '0' && d <= '9':
			value = value<<4 | int(d-'0')
		case d >= 'a' && d <= 'f':
			value = value<<4 | int(d-'a'+10)
		case d >= 'A' && d <= 'F':
			value = value<<4 | int(d-'A'+10)
		default:
			return 0, false
		}
	}
	return value, true
}
