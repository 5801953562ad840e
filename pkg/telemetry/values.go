package telemetry

import "sync"

// Others replaces the values of a tag beyond its limit.
const Others = "others"

// TagValues limits the number of distinct values of a metric's tag: the first ones
// are kept, all later ones become Others. It is safe for concurrent use.
type TagValues struct {
	max int

	mu    sync.Mutex
	known map[string]struct{}
}

// NewTagValues returns a TagValues that keeps the first max distinct values.
func NewTagValues(max int) *TagValues {
	return &TagValues{max: max, known: make(map[string]struct{})}
}

// Limit returns the value itself, or Others if it is beyond the limit.
func (v *TagValues) Limit(value string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.known[value]; ok {
		return value
	}
	if len(v.known) >= v.max {
		return Others
	}
	v.known[value] = struct{}{}
	return value
}
