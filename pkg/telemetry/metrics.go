package telemetry

import (
	"fmt"
	"strings"
)

// Form is how a metric counts.
type Form string

// Forms of metrics.
const (
	Counter   Form = "counter"
	Gauge     Form = "gauge"
	Histogram Form = "histogram"
)

// Metric describes one metric for operators.
type Metric struct {
	Scope   string // The part that it tells of, which begins its name.
	Name    string
	Form    Form
	Tags    string
	Unit    string
	Meaning string
}

// Metrics is the table of all metrics, from which their page is made.
var Metrics = []Metric{
	{"dispatch", "claims", Counter, "", "claims", "Claims of once-only keys that this VM tried."},
	{"dispatch", "serverSeconds", Histogram, "end", "seconds", "Time of one sending to a server, from its start to the end of the answer's head."},
	{"dispatch", "tries", Counter, "end", "sendings", "Sendings to servers by how they ended: Served, Failed, Declined, Dropped, Unreached."},
	{"entry", "requests", Counter, "rule, kind, priority", "requests", "Callers' requests by how they ended: answered, or the kind of failure. Rules beyond 64 count as others."},
	{"entry", "requestSeconds", Histogram, "kind, priority", "seconds", "Time from a request's first byte to its answer."},
	{"entry", "vouches", Counter, "", "writes", "Writes that make \"not run\" true of a key."},
	{"fleet", "catalogVersion", Gauge, "", "version", "Configuration in force on this VM."},
	{"fleet", "homesLost", Counter, "", "calls", "Calls to a pool's home that got no answer."},
	{"fleet", "levelsLost", Counter, "", "calls", "Messages of this VM as reader of the platform's tables that got no answer."},
	{"fleet", "members", Gauge, "", "VMs", "VMs that can have roles, as this one knows."},
	{"fleet", "heartbeats", Counter, "", "calls", "Heartbeats that this VM sent."},
	{"fleet", "platformAgeSeconds", Gauge, "", "seconds", "Since when this VM has not known the platform's state."},
	{"fleet", "readsFailed", Counter, "", "calls", "Reads of the platform's tables that failed."},
	{"fleet", "registryRevision", Gauge, "", "revision", "List of registered servers in force on this VM."},
	{"fleet", "releasesLost", Counter, "", "calls", "Slots that a home was not told to be free; it takes them back at their deadline."},
	{"fleet", "sharesLost", Counter, "", "calls", "Messages on failing servers to the VM that stands in, without an answer."},
	{"home", "ejectionsRefused", Counter, "", "ejections", "Ejections of servers that the floor forbade."},
	{"home", "grants", Counter, "", "decisions", "Slots that this VM granted as home."},
	{"home", "queued", Gauge, "pool", "requests", "Requests that wait for a slot."},
	{"home", "refusals", Counter, "kind", "decisions", "Requests that this VM refused as home."},
	{"home", "retries", Gauge, "pool", "sendings", "Sendings beyond the first of each request, in the budget's window."},
	{"home", "retryBudget", Gauge, "pool", "sendings", "How many of them the budget allows."},
	{"home", "serverMoves", Counter, "to", "moves", "Changes of servers' states: ejections, trials, returns."},
	{"home", "servers", Gauge, "pool", "servers", "Servers of the pool."},
	{"home", "slots", Gauge, "pool", "slots", "Slots of servers that are not leaving or down."},
	{"home", "slotsInUse", Gauge, "pool", "slots", "Slots that requests hold."},
	{"home", "usableServers", Gauge, "pool", "servers", "Servers that are trusted and have not failed lately."},
	{"record", "linesLeftOut", Counter, "kind", "lines", "Lines on ordinary decisions above the rate."},
	{"record", "linesLost", Counter, "", "lines", "Lines lost since the reader of the output does not keep up."},
	{"store", "calls", Counter, "result", "calls", "Calls to the platform's store: done, conflict, absent, refused, noAnswer."},
}

// MetricsTable returns the table of metrics for the operators' pages.
func MetricsTable() string {
	var b strings.Builder
	b.WriteString("| metric | form | tags | unit | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `laburnumpick_%s_%s` | %s | %s | %s | %s |\n", m.Scope, m.Name, m.Form, m.Tags, m.Unit, m.Meaning)
	}
	return b.String()
}
