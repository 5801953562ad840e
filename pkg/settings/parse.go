package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ValidationError describes an error in a settings file.
type ValidationError struct {
	File   string
	Line   int    // Zero if the YAML library reports no line.
	Key    string // Empty if the error is not about the value of a key.
	Detail string
}

// Error returns the file, the line, the key and the detail on one line.
func (e ValidationError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// ValidationErrors holds all errors of a file.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (errs ValidationErrors) Error() string {
	lines := make([]string, len(errs))
	for i, err := range errs {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and parses a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file. The error is of type
// ValidationErrors.
func Parse(file string, text []byte) (*Settings, error) {
	s := Default()
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, parseErrors(file, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var errs ValidationErrors
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		errs = parseErrors(file, err)
	}
	removeDuplicateKeys(&doc)
	_ = doc.Decode(&s) // Errors were collected above. This decodes the values that the strict pass skipped.
	c := validator{file: file, doc: &doc}
	c.validate(&s)
	errs = append(errs, c.errs...)
	if len(errs) > 0 {
		slices.SortStableFunc(errs, func(a, b ValidationError) int { return a.Line - b.Line })
		return nil, errs
	}
	return &s, nil
}

// parseErrors converts an error of the YAML library into validation errors.
func parseErrors(file string, err error) ValidationErrors {
	typeErr, ok := errors.AsType[*yaml.TypeError](err)
	if !ok {
		return ValidationErrors{parseLine(file, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	var errs ValidationErrors
	for _, e := range typeErr.Errors {
		errs = append(errs, parseLine(file, e))
	}
	return errs
}

// parseLine splits a message such as "line 3: detail" into its parts.
func parseLine(file, text string) ValidationError {
	e := ValidationError{File: file, Detail: text}
	if _, err := fmt.Sscanf(text, "line %d:", &e.Line); err == nil {
		_, e.Detail, _ = strings.Cut(text, ": ")
	}
	e.Detail = translateYAMLError(e.Detail)
	return e
}

// removeDuplicateKeys keeps only the first of equal keys in a mapping, so that the
// rest of the file can be decoded and validated.
func removeDuplicateKeys(n *yaml.Node) {
	if n.Kind == yaml.MappingNode {
		seen := make(map[string]bool)
		var kept []*yaml.Node
		for i := 0; i+1 < len(n.Content); i += 2 {
			if k := n.Content[i].Value; !seen[k] {
				seen[k] = true
				kept = append(kept, n.Content[i], n.Content[i+1])
			}
		}
		n.Content = kept
	}
	for _, child := range n.Content {
		removeDuplicateKeys(child)
	}
}

// unmarshalError matches the type and the value in an error of the YAML library.
// The value is removed from the message, since it may be a secret that was put
// under the wrong key.
var unmarshalError = regexp.MustCompile("cannot unmarshal !!(\\w+)( `[^`]*`)?")

// translateYAMLError replaces the Go and YAML types in a message of the library by
// the words of the settings' documentation.
func translateYAMLError(text string) string {
	if key, _, ok := strings.Cut(text, " not found in type "); ok {
		return "unknown key: " + strings.TrimPrefix(key, "field ")
	}
	text = unmarshalError.ReplaceAllString(text, "a $1")
	return strings.NewReplacer(
		"a str ", "a string ", "a seq ", "a list ", "a map ", "a mapping ",
		"into int64", "where an integer is required", "into int", "where an integer is required",
		"into float64", "where a number is required", "into time.Duration", `where a duration such as "2s" is required`,
		"into string", "where a string is required", "into []string", "where a list of strings is required",
	).Replace(text)
}
