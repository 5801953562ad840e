package telemetry

import (
	"fmt"
	"strings"
)

// MetricType is the type of a metric.
type MetricType string

// Types of metrics.
const (
	Counter   MetricType = "counter"
	Gauge     MetricType = "gauge"
	Histogram MetricType = "histogram"
)

// Metric describes one metric for operators.
type Metric struct {
	Scope   string // The package that reports it; the first part of its name.
	Name    string
	Type    MetricType
	Tags    string // Separated by commas; each metric also has the tag "vm".
	Unit    string
	Meaning string
}

// Metrics lists all metrics. The operators' page is generated from it.
var Metrics = []Metric{
	{"caller", "unanswered", Counter, "reason", "requests", "Requests of callers that were read, at least in part, and got no complete response, by reason: behindLast (behind a response that announced the end of the connection), behindBroken (behind one that broke off), brokenOff, callerLeft, notTaken (the caller did not take the response in time), stopped (the stop of the VM ran out of time)."},
	{"dispatch", "claims", Counter, "", "claims", "Claims of idempotency keys that this VM attempted."},
	{"dispatch", "connects", Counter, "result", "connections", "New connections to servers that this VM tried to open, by result: connected, refused, reset, timedOut, canceled, failed."},
	{"dispatch", "declinedGrants", Counter, "reason", "grants", "Grants of a pool's home that this VM declined because of what it knows of the server: unlisted, leaving, paused."},
	{"dispatch", "invalidNotices", Counter, "", "responses", "Responses whose Retry-After, or whose header that says that the server leaves, could not be read."},
	{"dispatch", "leavingServers", Counter, "", "servers", "Servers that have told this VM in a response that they leave."},
	{"dispatch", "pauses", Counter, "", "responses", "Refusals with which a server has told this VM that it wants no requests from it for a time."},
	{"dispatch", "serverSeconds", Histogram, "end", "seconds", "Duration of one attempt to send a request to a server, from its start to the end of the response header."},
	{"dispatch", "tries", Counter, "end", "sendings", "Attempts to send a request to a server, by result: Served, Failed, Declined, Dropped, Unreached."},
	{"egress", "asked", Counter, "result", "calls", "Calls in which this VM asked another one to run a request, since its own link to the server was down, by result: answered, noResponse and invalidResponse if it was sent to the server; unreachable, refused, cutOff, busy, stopping, unlisted, withheld or malformed if not."},
	{"egress", "attempts", Counter, "path", "attempts", "Attempts to send a request to a server by path: direct, or through another VM."},
	{"egress", "carried", Counter, "result", "calls", "Calls of other VMs that this VM carried or refused, with results as in egress_asked, and reached for checks."},
	{"egress", "carrying", Gauge, "", "calls", "Calls of other VMs that this VM carries at present."},
	{"egress", "checks", Counter, "result", "connections", "Connections that this VM opened only to learn whether a server can be reached, with results as in dispatch_connects."},
	{"egress", "cutOff", Gauge, "", "boolean", "1 while this VM is cut off from all backend servers, else 0."},
	{"egress", "linksDown", Gauge, "", "links", "Servers to which this VM cannot connect, although others may."},
	{"egress", "noPath", Counter, "", "attempts", "Attempts for which neither this VM nor another one that was asked reached the server."},
	{"entry", "requests", Counter, "rule, kind, priority", "requests", "Callers' requests by result: answered, or the kind of failure. Rules beyond the first 64 are counted as others."},
	{"entry", "requestSeconds", Histogram, "kind, priority", "seconds", "Time from a request's first byte to its response."},
	{"entry", "unauthorized", Counter, "reason", "requests", "Requests refused for their key of a client account, by reason: noKey, severalKeys, unknownScheme, emptyKey, unknownKey."},
	{"entry", "vouches", Counter, "", "writes", "Writes that keep earlier attempts with an idempotency key from claiming it, so that \"not run\" can be confirmed."},
	{"buffer", "bytes", Gauge, "", "bytes", "What is held in memory for the bodies of requests and responses."},
	{"fleet", "catalogVersion", Gauge, "", "version", "Version of the configuration that this VM uses."},
	{"fleet", "givenUp", Counter, "", "calls", "Requests for slots that this VM read as home after the VM that asked had given up, as after a pause."},
	{"fleet", "hintRefusals", Counter, "", "requests", "Requests that this VM refused by itself, because the pool's home had told it a fraction of a second before that it refuses requests of that priority."},
	{"fleet", "homesLost", Counter, "", "calls", "Calls to a pool's home that got no response."},
	{"fleet", "invalidLimits", Counter, "", "responses", "Responses to this VM whose limit on requests could not be read, where the server's response before was another one."},
	{"fleet", "levelsLost", Counter, "", "calls", "Messages that this VM sent as reader of the platform's tables and that got no response."},
	{"fleet", "limitReportsLost", Counter, "", "calls", "Reports of a server's limit to a pool's home that got no response."},
	{"fleet", "members", Gauge, "", "VMs", "VMs that are eligible for roles, in this VM's view."},
	{"fleet", "heartbeats", Counter, "", "calls", "Heartbeats that this VM sent."},
	{"fleet", "noticesLost", Counter, "", "calls", "Reports to a pool's home of what servers have told this VM that got no response."},
	{"fleet", "platformAgeSeconds", Gauge, "", "seconds", "How long this VM has had no current state of the platform."},
	{"fleet", "quarantineRefusals", Counter, "", "requests", "Requests that this VM refused without asking a home, since servers crash that run them."},
	{"fleet", "quotaChecks", Counter, "result", "requests", "Requests of accounts with a quota, by result: allowed, delayed (allowed after a wait), refused, refusedByHint (refused without a call), undecided (no VM that decides was reached)."},
	{"fleet", "quotaPauses", Counter, "", "pauses", "Pauses of this VM's process, after which its quotas start empty."},
	{"fleet", "readsFailed", Counter, "", "calls", "Reads of the platform's tables that failed."},
	{"fleet", "registryRevision", Gauge, "", "revision", "Revision of the list of registered servers that this VM uses."},
	{"fleet", "registrationsImplausible", Counter, "", "entries", "Entries of registered servers that were ignored, since their start lies in the future or their sequence number is negative."},
	{"fleet", "releasesLost", Counter, "", "calls", "Messages to a pool's home, such as the release of a slot, that got no response. The home frees an unreleased slot at its deadline."},
	{"fleet", "sharesLost", Counter, "", "calls", "Messages about failing servers or the retry budget to the pool's standby VM that got no response."},
	{"fleet", "storeEra", Gauge, "", "era", "How often the platform's store has come back from an older copy, as it says itself; 0 if it does not."},
	{"fleet", "storeEraRises", Counter, "", "rises", "Recoveries of the store from an older copy that this VM has heard of."},
	{"fleet", "suspects", Gauge, "", "suspects", "Requests and paths for which this VM holds losses, releases or trials; 4096 at most."},
	{"home", "ejectionsRefused", Counter, "", "ejections", "Ejections of servers that the floor prevented."},
	{"home", "grants", Counter, "", "decisions", "Slots that this VM granted as home."},
	{"home", "idleServers", Gauge, "pool, reason", "servers", "Servers that could be used and have got no request for over two seconds, by reason: busy, limited, paused, probation, backOff, recovering, slow, unchosen."},
	{"home", "limitChanges", Counter, "", "changes", "Changes of servers' limits on requests, as this VM heard of them as home or standby."},
	{"home", "limitedRate", Gauge, "pool", "requests/s", "Requests that this VM may send as home to the servers that name a limit, together."},
	{"home", "limitedServers", Gauge, "pool", "servers", "Servers that name a limit on their requests per second."},
	{"home", "losses", Counter, "", "losses", "Servers that crashed while they ran a request, as this VM was told as home; one for each request."},
	{"home", "pauses", Counter, "", "pauses", "Pauses of servers for single VMs that this VM, as home, was told."},
	{"home", "queued", Gauge, "pool", "requests", "Requests that wait in the queue for a slot."},
	{"home", "refusals", Counter, "kind", "decisions", "Requests that this VM refused as home; serverLimits where the limits of the servers are the reason, serverPauses where all that could be used want no requests from the VM."},
	{"home", "retries", Gauge, "pool", "sendings", "Attempts beyond each request's first in the retry budget's window."},
	{"home", "retryBudget", Gauge, "pool", "sendings", "Attempts beyond each request's first that the retry budget allows in its window."},
	{"home", "serverMoves", Counter, "to", "moves", "Changes of servers' states, such as ejections, probation and recoveries, by the new state."},
	{"home", "servers", Gauge, "pool", "servers", "Servers of the pool."},
	{"home", "slots", Gauge, "pool", "slots", "Slots of the servers that are not leaving, down or held."},
	{"home", "slotsInUse", Gauge, "pool", "slots", "Slots that are held by requests."},
	{"home", "usableServers", Gauge, "pool", "servers", "Healthy and warming servers that have no current failure streak."},
	{"quarantine", "savesFailed", Counter, "", "writes", "Writes of losses to the fleet's table that failed; they are repeated."},
	{"quarantine", "trials", Counter, "", "trials", "Quarantined requests that this VM let through as a trial."},
	{"record", "linesLeftOut", Counter, "kind", "lines", "Log lines on ordinary decisions that were left out, since they exceeded the rate limit."},
	{"record", "linesLost", Counter, "", "lines", "Log lines lost, since the reader of the output did not keep up."},
	{"store", "calls", Counter, "result", "calls", "Calls to the platform's store by result: done, conflict, absent, refused, noAnswer."},
}

// MetricsTable returns Metrics as a Markdown table, for the operators' page.
func MetricsTable() string {
	var b strings.Builder
	b.WriteString("| metric | form | tags | unit | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics {
		fmt.Fprintf(&b, "| `laburnumpick_%s_%s` | %s | %s | %s | %s |\n", m.Scope, m.Name, m.Type, m.Tags, m.Unit, m.Meaning)
	}
	return b.String()
}
