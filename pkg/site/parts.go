package site

// Part is a service that may get a request.
type Part struct {
	Match Match
	Share float64 // Of the route's requests, between 0 and 1.
}

// MatchAll returns all services that Match may return for a request, in the order of the
// route's shares. It returns none if no route or service matches.
func (d *Directory) MatchAll(host, method, path string) []Part {
	weights := []int{1}
	if routes, ok := d.routesByHost.get(normalizeHost(host)); ok {
		r := routes.match(path)
		if r == nil {
			return nil
		}
		weights = r.weights()
	}
	total := 0
	for _, w := range weights {
		total += w
	}
	var out []Part
	before := 0
	for _, w := range weights {
		middle := (float64(before) + float64(w)/2) / float64(total)
		before += w
		if m, ok := d.Match(host, method, path, middle); ok && w > 0 {
			out = append(out, Part{m, float64(w) / float64(total)})
		}
	}
	return out
}

// weights returns the weights of the route's services.
func (r *Route) weights() []int {
	out := make([]int, len(r.Shares))
	for i, s := range r.Shares {
		out[i] = s.Weight
	}
	return out
}
