package standin

// Faults configures the faults that a backend server injects. Shares lie between
// 0 and 1.
type Faults struct {
	SlowFactor    float64 `json:"slowFactor,omitempty" yaml:"slowFactor"` // Multiplies the processing time; below 1 it has no effect.
	ErrorShare    float64 `json:"errorShare,omitempty" yaml:"errorShare"` // Share of responses with status 500.
	TruncateShare float64 `json:"cutShare,omitempty" yaml:"cutShare"`     // Share of responses whose body is truncated.
	MismatchShare float64 `json:"crossShare,omitempty" yaml:"crossShare"` // Share of responses that belong to another request.
	CloseShare    float64 `json:"closeShare,omitempty" yaml:"closeShare"` // Share of requests after which the connection closes without a response.
	TrailingBytes bool    `json:"surplus,omitempty" yaml:"surplus"`       // Each response is followed by stray bytes.
	Unresponsive  bool    `json:"mute,omitempty" yaml:"mute"`             // Requests are accepted and never answered.
	Draining      bool    `json:"draining,omitempty" yaml:"draining"`     // All requests are refused, as before a shutdown.
	Cold          bool    `json:"cold,omitempty" yaml:"cold"`             // All requests are refused, as before the warm-up has ended.
	// Limit is the value with which each response names the server's limit on requests;
	// empty if it names none. The server does not enforce it unless RefuseOverLimit is
	// set.
	Limit           string `json:"limit,omitempty" yaml:"limit"`
	RefuseOverLimit bool   `json:"refuseOverLimit,omitempty" yaml:"refuseOverLimit"`
	// Leaving makes each response say that the server leaves. It serves on.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving"`
	// RetryAfter is the Retry-After with which the server refuses a share of the requests;
	// empty if it refuses none.
	RetryAfter      string  `json:"retryAfter,omitempty" yaml:"retryAfter"`
	RetryAfterShare float64 `json:"retryAfterShare,omitempty" yaml:"retryAfterShare"`
	// RefuseShare is the share of the requests that the server refuses without running them.
	RefuseShare float64 `json:"refuseShare,omitempty" yaml:"refuseShare"`
	// RepeatRefusalShare is the share of the requests that the server refuses, and whose refusal it
	// writes once more when it runs the next request of the connection.
	RepeatRefusalShare float64 `json:"repeatRefusalShare,omitempty" yaml:"repeatRefusalShare"`
	// CutAfter is the number of bytes after which the server stops in each response and closes;
	// zero if it does not.
	CutAfter int `json:"cutAfter,omitempty" yaml:"cutAfter"`
	// CrashProof makes the server answer requests that name a CrashPlace.
	CrashProof bool `json:"crashProof,omitempty" yaml:"crashProof"`
	// EndlessBytes is where the server sends bytes that are no response and never end;
	// empty if it does not.
	EndlessBytes EndlessPlace `json:"endlessBytes,omitempty" yaml:"endlessBytes"`
}
