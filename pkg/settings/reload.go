package settings

import "reflect"

// RestoreStatic replaces settings of next that cannot change while the daemon runs
// by those of old, and returns the keys of those that differed.
func RestoreStatic(next, old *Settings) []string {
	var restored []string
	restore := func(key string, to, from any) {
		dst, src := reflect.ValueOf(to).Elem(), reflect.ValueOf(from).Elem()
		if !reflect.DeepEqual(dst.Interface(), src.Interface()) {
			restored = append(restored, key)
			dst.Set(src)
		}
	}
	restore("vm", &next.VM, &old.VM)
	restore("listen", &next.Listen, &old.Listen)
	restore("platform", &next.Platform, &old.Platform)
	restore("callers", &next.Callers, &old.Callers)
	restore("access", &next.Access, &old.Access)
	restore("admission", &next.Admission, &old.Admission)
	restore("trace", &next.Trace, &old.Trace)
	restore("limits.connections", &next.Limits.Connections, &old.Limits.Connections)
	restore("limits.connectionsFromOne", &next.Limits.ConnectionsPerHost, &old.Limits.ConnectionsPerHost)
	restore("limits.wholeAnswerBytes", &next.Limits.BufferedResponseBytes, &old.Limits.BufferedResponseBytes)
	return restored
}
