// Package head checks the heads of HTTP/1 messages before net/http parses them, and how the end of a body
// is told.
//
// net/http accepts some heads that two readers can understand in different ways: as another message, as
// one with another body, or as none. Such a head is a sign of trouble or of an attack.
package head

import (
	"bytes"
	"strings"
)

// Error means that a head is malformed. It tells what is wrong and quotes nothing of the head, which may
// hold a caller's credentials.
type Error struct{ reason string }

// NewError returns an error with the given reason.
func NewError(reason string) *Error { return &Error{reason} }

// Error returns the reason.
func (e *Error) Error() string { return e.reason }

// ParseError returns the error of a head that net/http cannot parse.
func ParseError(err error) *Error {
	text := strings.TrimPrefix(err.Error(), "http: ")
	if i := strings.IndexAny(text, "\":;"); i >= 0 {
		text = text[:i]
	}
	return NewError("the message cannot be parsed: " + strings.TrimSpace(text))
}

// Scanner checks the raw bytes of one head, or of the trailer section of one body, as they arrive.
type Scanner struct {
	rules   *rules
	begun   bool // The first line has been checked.
	next    int  // Offset of the first line that has not been checked.
	scanned int  // Up to here there is no further line end.
	fields  fields
}

// NewRequest returns a scanner of the head of a request.
func NewRequest() *Scanner { return &Scanner{rules: &requestRules} }

// NewResponse returns a scanner of the head of a response, interim or final.
func NewResponse() *Scanner { return &Scanner{rules: &responseRules} }

// NewTrailer returns a scanner of the trailer section of a response in chunks.
func NewTrailer() *Scanner { return &Scanner{rules: &trailerRules, begun: true} }

// Len returns how many bytes have been checked: all of the head, once it is complete.
func (s *Scanner) Len() int { return s.next }

// Scan checks what has arrived, from the first byte of the head on; each call is given the bytes of the
// call before and what has come since. It reports whether the head is complete. The error is an *Error.
func (s *Scanner) Scan(b []byte) (complete bool, err error) {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return false, nil
		}
		end := s.scanned + i
		line, err := s.rules.trimLineEnd(b[s.next:end])
		if err != nil {
			return false, err
		}
		s.next, s.scanned = end+1, end+1
		if complete, err = s.add(line); complete || err != nil {
			return complete, err
		}
	}
}

// add checks a line. It reports whether that is the last one.
func (s *Scanner) add(line []byte) (last bool, err error) {
	switch {
	case !isText(line):
		return false, errControlByte
	case s.begun && len(line) == 0:
		return true, s.rules.checkFraming(&s.fields)
	case s.begun:
		return false, s.addField(line)
	case len(line) == 0 && s.rules.emptyLinesFirst:
		return false, nil
	}
	s.begun = true
	return false, s.rules.checkStart(&s.fields, line)
}

// colon ends the name of a field.
var colon = []byte(":")

// addField checks a line of the fields.
func (s *Scanner) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return s.checkFold()
	}
	name, value, ok := bytes.Cut(line, colon)
	if !ok || !IsToken(name) {
		return errFieldName
	}
	s.fields.add(name, value)
	return nil
}

// checkFold checks a line that continues the field before it.
func (s *Scanner) checkFold() error {
	if !s.rules.folded || s.fields.count == 0 {
		return errFolded
	}
	return nil
}
