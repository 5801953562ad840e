package telemetry

import "sync"

// Others is the value that a tag has once it has too many.
const Others = "others"

// TagValues bounds the values of a metric's tag: the first ones keep their names.
type TagValues struct {
	most int

	mu    sync.Mutex
	known map[string]struct{}
}

// NewTagValues returns a tag's values, of which so many keep their names.
func NewTagValues(most int) *TagValues {
	return &TagValues{most: most, known: make(map[string]struct{})}
}

// Limit returns the value itself, or Others.
func (v *TagValues) Limit(value string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.known[value]; ok {
		return value
	}
	if len(v.known) >= v.most {
		return Others
	}
	v.known[value] = struct{}{}
	return value
}
