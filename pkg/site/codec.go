package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

// Document is the form of an object in operators' files, stored changes and
// snapshots. Exactly one field is set; it determines the kind of the object.
type Document struct {
	Site    *Site    `json:"site,omitempty" yaml:"site,omitempty"`
	Service *Service `json:"service,omitempty" yaml:"service,omitempty"`
	Rule    *Rule    `json:"rule,omitempty" yaml:"rule,omitempty"`
	Route   *Route   `json:"route,omitempty" yaml:"route,omitempty"`
	Account *Account `json:"account,omitempty" yaml:"account,omitempty"`
}

// NewDocument returns the document of an object.
func NewDocument(o Object) Document {
	switch o := o.(type) {
	case *Site:
		return Document{Site: o}
	case *Service:
		return Document{Service: o}
	case *Rule:
		return Document{Rule: o}
	case *Route:
		return Document{Route: o}
	case *Account:
		return Document{Account: o}
	default:
		return Document{}
	}
}

// Object returns the object of the document. It fails unless there is exactly one.
func (d Document) Object() (Object, error) {
	var found []Object
	if d.Site != nil {
		found = append(found, d.Site)
	}
	if d.Service != nil {
		found = append(found, d.Service)
	}
	if d.Rule != nil {
		found = append(found, d.Rule)
	}
	if d.Route != nil {
		found = append(found, d.Route)
	}
	if d.Account != nil {
		found = append(found, d.Account)
	}
	if len(found) != 1 {
		return nil, errors.New("a document must contain exactly one of site, service, rule, route, account")
	}
	return found[0], nil
}

// ParseYAML parses a file of documents separated by "---" lines. The error for an
// unknown key includes its line.
func ParseYAML(text []byte) ([]Object, error) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	var all []Object
	for n := 1; ; n++ {
		var d Document
		err := dec.Decode(&d)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", n, err)
		}
		o, err := d.Object()
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", n, err)
		}
		all = append(all, o)
	}
}

// DecodeJSON decodes the object of a document.
func DecodeJSON(text []byte) (Object, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, err
	}
	return d.Object()
}

// EncodeJSON encodes an object as a document.
func EncodeJSON(o Object) ([]byte, error) { return json.Marshal(NewDocument(o)) }
