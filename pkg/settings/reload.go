package settings

import "reflect"

// RestoreStatic puts back what cannot change while the daemon serves, and returns
// the keys of what would have changed.
func RestoreStatic(next, old *Settings) []string {
	var kept []string
	keep := func(key string, to, from any) {
		dst, src := reflect.ValueOf(to).Elem(), reflect.ValueOf(from).Elem()
		if !reflect.DeepEqual(dst.Interface(), src.Interface()) {
			kept = append(kept, key)
			dst.Set(src)
		}
	}
	keep("vm", &next.VM, &old.VM)
	keep("listen", &next.Listen, &old.Listen)
	keep("platform", &next.Platform, &old.Platform)
	keep("callers", &next.Callers, &old.Callers)
	keep("access", &next.Access, &old.Access)
	keep("trace", &next.Trace, &old.Trace)
	keep("limits.connections", &next.Limits.Connections, &old.Limits.Connections)
	keep("limits.connectionsFromOne", &next.Limits.ConnectionsPerHost, &old.Limits.ConnectionsPerHost)
	keep("limits.wholeAnswerBytes", &next.Limits.BufferedAnswerBytes, &old.Limits.BufferedAnswerBytes)
	return kept
}
