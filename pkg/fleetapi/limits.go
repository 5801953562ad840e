package fleetapi

import (
	"math"

	"laburnumpick.org/pkg/home"
	"laburnumpick.org/pkg/pool"
	"laburnumpick.org/pkg/site"
)

// fromRequestLimit converts a server's limit on requests. It returns nil if there is
// none.
func fromRequestLimit(l site.RequestLimit) *RequestLimit {
	if !l.Named {
		return nil
	}
	return &RequestLimit{PerSecond: float64(l.Rate)}
}

// toRequestLimit converts a server's limit on requests; nil means that there is none, and so
// does a rate that is no finite number of at least zero.
func toRequestLimit(m *RequestLimit) site.RequestLimit {
	if m == nil || !(m.GetPerSecond() >= 0) || math.IsInf(m.GetPerSecond(), 0) {
		return site.RequestLimit{}
	}
	return site.LimitOf(site.RequestRate(m.GetPerSecond()))
}

// fromNamedLimit converts a limit that a server has named.
func fromNamedLimit(n pool.NamedLimit) *NamedLimit {
	return &NamedLimit{
		Server: string(n.Server), StartedMs: n.StartedMs, Limit: fromRequestLimit(n.Limit), AgeMs: n.Age.Milliseconds(), Vm: n.VM,
	}
}

// toNamedLimit converts a limit that a server has named.
func toNamedLimit(m *NamedLimit) pool.NamedLimit {
	return pool.NamedLimit{
		Server: site.ServerName(m.GetServer()), StartedMs: m.GetStartedMs(), Limit: toRequestLimit(m.GetLimit()),
		Age: max(0, fromMilliseconds(m.GetAgeMs())), VM: m.GetVm(),
	}
}

// fromNamedLimits converts limits that servers have named.
func fromNamedLimits(limits []pool.NamedLimit) []*NamedLimit {
	var out []*NamedLimit
	for _, n := range limits {
		out = append(out, fromNamedLimit(n))
	}
	return out
}

// toNamedLimits converts limits that servers have named.
func toNamedLimits(ms []*NamedLimit) []pool.NamedLimit {
	var out []pool.NamedLimit
	for _, m := range ms {
		out = append(out, toNamedLimit(m))
	}
	return out
}

// fromLimitVersion converts the version of the limits at a home.
func fromLimitVersion(v pool.LimitVersion) *LimitVersion {
	return &LimitVersion{SinceUnixUs: v.Since, Changes: v.Changes}
}

// toLimitVersion converts the version of the limits at a home; nil stands for none.
func toLimitVersion(m *LimitVersion) pool.LimitVersion {
	return pool.LimitVersion{Since: m.GetSinceUnixUs(), Changes: m.GetChanges()}
}

// FromLimitReport converts what a response says about its server's limit.
func FromLimitReport(r home.LimitReport) *ReportLimitRequest {
	return &ReportLimitRequest{Service: string(r.Service), Grant: int64(r.Grant), Named: fromNamedLimit(r.Named)}
}

// ToLimitReport converts what a response says about its server's limit.
func ToLimitReport(m *ReportLimitRequest) home.LimitReport {
	return home.LimitReport{
		Service: site.ServiceName(m.GetService()), Grant: pool.GrantID(m.GetGrant()), Named: toNamedLimit(m.GetNamed()),
	}
}
