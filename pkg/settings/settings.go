// Package settings parses and validates the daemon's settings file. All errors of a
// file are reported together, each with its line, its key and what is allowed.
package settings

import (
	"time"

	"laburnumpick.org/pkg/admission"
)

// Settings are the settings of one entry VM.
type Settings struct {
	VM        VM        `yaml:"vm"`
	Listen    Listen    `yaml:"listen"`
	Platform  Platform  `yaml:"platform"`
	Limits    Limits    `yaml:"limits"`
	Retry     Retry     `yaml:"retry"`
	Quota     Quota     `yaml:"quota"`
	Callers   Callers   `yaml:"callers"`
	Stop      Stop      `yaml:"stop"`
	Access    Access    `yaml:"access"`
	Trace     Trace     `yaml:"trace"`
	Admission Admission `yaml:"admission"`
	Log       Log       `yaml:"log"`
}

// VM identifies this VM and its place in the fleet.
type VM struct {
	Name       string `yaml:"name"`
	Site       string `yaml:"site"`
	DataCentre string `yaml:"dataCentre"`
	// Cores is the number of cores that the VM has, which may be a fraction. The
	// VM's share of the fleet's roles, such as home of a pool, is proportional to it.
	Cores float64 `yaml:"cores"`
}

// Listen holds the addresses on which the daemon listens. Port 0 picks a free port.
type Listen struct {
	Callers     string `yaml:"callers"`
	VMs         string `yaml:"vms"`
	Operators   string `yaml:"operators"`
	Advertise   string `yaml:"advertise"`   // Host that other VMs connect to; the default is that of vms.
	Health      string `yaml:"health"`      // Additional address for the load balancer's health checks, if any; callers also serves them.
	Metrics     string `yaml:"metrics"`     // Address at which metrics are served without a token, if any.
	AddressFile string `yaml:"addressFile"` // File to which the addresses in use are written, if any.
}

// Platform configures the connection to the platform, and the site's limits where
// the platform does not provide them.
type Platform struct {
	URL string `yaml:"url"` // "embedded" for a store in the memory of this process.
	// Kind is the platform's interface: "own" for laburnumpick's own, "tables" for
	// tables with change feeds, in which servers register themselves.
	Kind string `yaml:"kind"`
	// DataCentres lists the data centres of the site for a platform that does not
	// provide them.
	DataCentres []string `yaml:"dataCentres"`
	// FloorShare is the share of each service's servers, between 0 and 1, that must
	// stay in use if servers register themselves.
	FloorShare float64 `yaml:"floorShare"`
	// EjectionThreshold is the site.EjectionThreshold of servers that register
	// themselves.
	EjectionThreshold float64 `yaml:"sureness"`
}

// Interfaces of platforms.
const (
	KindOwn    = "own"
	KindTables = "tables"
)

// Retry limits the retries of requests to a service, which are the attempts beyond
// the first of each request.
type Retry struct {
	Ratio      float64       `yaml:"ratio"`  // Retries per request to the service.
	MinRetries int           `yaml:"slack"`  // Retries allowed per window in addition to those of Ratio.
	Window     time.Duration `yaml:"window"` // Length of the sliding window.
}

// Quota configures what the fleet guarantees of the quotas of client accounts: in each
// window, servers run at most what the quota allows in that time, with a tolerance.
type Quota struct {
	Window  time.Duration `yaml:"window"`  // Length of the sliding window.
	Overage float64       `yaml:"overage"` // Tolerance relative to what the quota allows.
	Slack   float64       `yaml:"slack"`   // Tolerance in requests, in addition to Overage.
}

// Admission configures what is delayed or refused when a service has too little
// capacity.
type Admission struct {
	Policy admission.Policy `yaml:"policy"`
}

// Callers configures the responses to callers.
type Callers struct {
	// FractionalRetryAfter writes fractions of a second to the Retry-After header,
	// for callers that parse them.
	FractionalRetryAfter bool `yaml:"fractionalRetryAfter"`
}

// Access holds the tokens of VMs and operators.
type Access struct {
	FleetToken string     `yaml:"fleetToken"`
	Operators  []Operator `yaml:"operators"`
}

// Operator holds the name, the role and the token of an operator.
type Operator struct {
	Name  string `yaml:"name"`
	Role  string `yaml:"role"` // "read", "operate" or "administer".
	Token string `yaml:"token"`
}

// Trace configures the tracing of requests.
type Trace struct {
	SampleRatio float64 `yaml:"share"` // Share of requests that are traced, between 0 and 1.
	MaxSpans    int     `yaml:"keep"`  // Spans kept in memory.
}

// Log configures logging.
type Log struct {
	Verbosity int `yaml:"verbosity"` // Of klog, from 0 to 9.
}

// Default returns the documented defaults.
func Default() Settings {
	return Settings{
		VM:       VM{Cores: 1},
		Listen:   Listen{Callers: "127.0.0.1:8080", VMs: "127.0.0.1:8081", Operators: "127.0.0.1:8082"},
		Platform: Platform{URL: Embedded, Kind: KindOwn, FloorShare: 0.7, EjectionThreshold: 7},
		Retry:    Retry{Ratio: 0.1, MinRetries: 10, Window: 10 * time.Second},
		Quota:    Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Limits: Limits{
			BodyBytes: 1 << 20, BufferedResponseBytes: 1 << 20, HeaderBytes: 32 << 10, Requests: 2000,
			CallerTimeout: 10 * time.Second, ConfirmationsPerSecond: 4, Connections: 10_000, ConnectionsPerHost: 2000,
			CarriedRequests: 200,
			Account:         Account{Rate: 200, Burst: 400, InFlight: 100},
		},
		Admission: Admission{Policy: admission.ByPriority},
		Stop:      Stop{BalancerDelay: 2 * time.Second, DrainTimeout: 30 * time.Second},
		Trace:     Trace{SampleRatio: 0.01, MaxSpans: 2000},
	}
}

// Embedded is the platform URL for a store in the memory of the process.
const Embedded = "embedded"
