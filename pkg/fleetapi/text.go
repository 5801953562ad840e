package fleetapi

import (
	"encoding/hex"
	"strings"
	"unicode/utf8"
)

// escapePrefix begins a text that stands for other bytes, in hexadecimal. A text that begins so is
// escaped itself, so that no two texts are told alike.
const escapePrefix = "\ufffdx"

// fromText returns bytes that a caller, a server or an operator chose as a text that a message can
// hold, which must be valid UTF-8. A message that cannot be encoded would be lost as a whole.
func fromText[T ~string](bytes T) string {
	s := string(bytes)
	if utf8.ValidString(s) && !strings.HasPrefix(s, escapePrefix) {
		return s
	}
	return escapePrefix + hex.EncodeToString([]byte(s))
}

// toText returns the bytes that a text of a message stands for.
func toText[T ~string](text string) T {
	digits, escaped := strings.CutPrefix(text, escapePrefix)
	if !escaped {
		return T(text)
	}
	raw, err := hex.DecodeString(digits)
	if err != nil {
		return T(text) // Of a build that does not escape.
	}
	return T(raw)
}
