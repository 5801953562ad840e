// Package outcome defines the outcomes of callers' requests and the error responses
// that callers get.
//
// The list of kinds is closed: each failure inside the fleet is reported as exactly
// one kind, and one table maps the kind to the outcome, the HTTP status and the
// advice in the response.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Outcome tells the caller whether its request ran on a backend server.
type Outcome string

const (
	// Answered means that the request ran and a backend server responded. The
	// caller gets that response, unless it was not stored (ResponseNotStored).
	Answered Outcome = "answered"
	// NotRun means that no backend server's handler got any byte of the request.
	NotRun Outcome = "notRun"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Kind is the reason why a caller gets no response from a backend server.
type Kind string

// The closed list of kinds. Each has a row in responseByKind.
const (
	Malformed             Kind = "malformed"
	NoSuchService         Kind = "noSuchService" // No route matches the host and path.
	Unauthorized          Kind = "unauthorized"  // The request has no valid key of a client account.
	HeaderTooLarge        Kind = "headerTooLarge"
	RequestTimeout        Kind = "tooSlow" // The caller took too long to send its request.
	BodyTooLarge          Kind = "bodyTooLarge"
	KeyMissing            Kind = "keyMissing"      // The rule requires an idempotency key.
	KeyReused             Kind = "keyReused"       // The key belongs to a different request.
	AccountLimit          Kind = "accountLimit"    // The client account exceeds its limits.
	Overload              Kind = "overload"        // A limit of the VM, the pool or the server was reached.
	ServerLimits          Kind = "serverLimits"    // The limits that the backend servers name allow no request in time.
	ServerPauses          Kind = "serverPauses"    // All backend servers that could be used want no requests from the VM for a time.
	NoServer              Kind = "noServer"        // No backend server could be used or reached.
	StoreUnavailable      Kind = "storeAway"       // The key could not be claimed or looked up in the store.
	EarlierAttemptUnknown Kind = "earlierUnsure"   // This attempt was not sent; an earlier one with its key may have run.
	Quarantined           Kind = "quarantined"     // Equal requests have crashed servers, so this one was not sent.
	CrashedServers        Kind = "crashedServers"  // This request crashed the servers that it was sent to.
	DeadlinePassed        Kind = "deadlinePassed"  // The deadline passed before the request was sent.
	Canceled              Kind = "canceled"        // The caller disconnected before the request was sent.
	CallerDisconnected    Kind = "callerLeft"      // The caller disconnected after the request was sent.
	InProgress            Kind = "inProgress"      // Another attempt with the same key is running, has run or changed the key's row.
	Superseded            Kind = "superseded"      // The key was freed after this attempt began.
	VMLost                Kind = "hopLost"         // The VM that handled the request was lost. Unused: ServerLost is reported instead.
	ServerLost            Kind = "serverLost"      // The connection ended without a response, or the VM that ran the request was lost.
	ServerTimeout         Kind = "serverSilent"    // No response before the deadline.
	InvalidResponse       Kind = "answerBroken"    // The server's response was incomplete or not allowed by the protocol.
	ResponseNotStored     Kind = "answerNotKept"   // A repeated request: the body of the first response was not stored.
	CatalogNotReady       Kind = "catalogNotReady" // The VM has no configuration yet.
)

// Response describes the error response for a kind.
type Response struct {
	Outcome    Outcome
	Status     int           // HTTP status.
	RetryAfter time.Duration // Zero if retrying cannot help.
	Advice     string        // What the caller should do.
}

// responseByKind maps each kind to its response.
var responseByKind = map[Kind]Response{
	Malformed:             {NotRun, http.StatusBadRequest, 0, "correct the request"},
	NoSuchService:         {NotRun, http.StatusNotFound, 0, "check the host name"},
	Unauthorized:          {NotRun, http.StatusUnauthorized, 0, "send a valid key of the client account in the Authorization header"},
	HeaderTooLarge:        {NotRun, http.StatusRequestHeaderFieldsTooLarge, 0, "send smaller headers"},
	RequestTimeout:        {NotRun, http.StatusRequestTimeout, time.Second, "send the whole request at once"},
	BodyTooLarge:          {NotRun, http.StatusRequestEntityTooLarge, 0, "send a smaller body"},
	KeyMissing:            {NotRun, http.StatusPreconditionRequired, 0, "send the idempotency key that the rule asks for"},
	KeyReused:             {NotRun, http.StatusUnprocessableEntity, 0, "use a new key for a different request"},
	AccountLimit:          {NotRun, http.StatusTooManyRequests, time.Second, "slow down"},
	Overload:              {NotRun, http.StatusServiceUnavailable, time.Second, "try again later"},
	ServerLimits:          {NotRun, http.StatusServiceUnavailable, time.Second, "try again later"},
	ServerPauses:          {NotRun, http.StatusServiceUnavailable, time.Second, "try again later"},
	NoServer:              {NotRun, http.StatusServiceUnavailable, 2 * time.Second, "try again later"},
	StoreUnavailable:      {NotRun, http.StatusServiceUnavailable, 5 * time.Second, "try again with the same key"},
	EarlierAttemptUnknown: {Unknown, http.StatusServiceUnavailable, 5 * time.Second, "this attempt was not sent; try again with the same key to learn of earlier ones"},
	Quarantined:           {NotRun, http.StatusServiceUnavailable, time.Minute, "this request has crashed backend servers; do not repeat it"},
	CrashedServers:        {Unknown, http.StatusBadGateway, 0, "this request has taken backend servers down; do not repeat it"},
	DeadlinePassed:        {NotRun, http.StatusServiceUnavailable, time.Second, "try again with a longer deadline"},
	Canceled:              {NotRun, 499, 0, "the caller went away"},
	CallerDisconnected:    {Unknown, http.StatusBadGateway, 0, "the caller went away while a server ran the request"},
	InProgress:            {Unknown, http.StatusConflict, time.Second, "the first request with this key is still running; ask for its outcome"},
	Superseded:            {NotRun, http.StatusConflict, time.Second, "try again with the same key"},
	VMLost:                {Unknown, http.StatusBadGateway, time.Second, "query the outcome with the idempotency key, or check whether the request took effect"},
	ServerLost:            {Unknown, http.StatusBadGateway, time.Second, "query the outcome with the idempotency key, or check whether the request took effect"},
	ServerTimeout:         {Unknown, http.StatusGatewayTimeout, time.Second, "query the outcome with the idempotency key, or check whether the request took effect"},
	InvalidResponse:       {Unknown, http.StatusBadGateway, time.Second, "query the outcome with the idempotency key, or check whether the request took effect"},
	ResponseNotStored:     {Answered, http.StatusConflict, 0, "the request ran once; its answer was too large to keep"},
	CatalogNotReady:       {NotRun, http.StatusServiceUnavailable, 2 * time.Second, "this VM has no configuration yet; try again"},
}

// Response returns the error response for the kind. A kind that is not in the list
// gets the outcome Unknown, since nothing is known about it.
func (k Kind) Response() Response {
	resp, ok := responseByKind[k]
	if !ok {
		return Response{Unknown, http.StatusBadGateway, time.Second, "check whether the request took effect"}
	}
	return resp
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(responseByKind))
	for k := range responseByKind {
		ks = append(ks, k)
	}
	return ks
}

// Failure is an error that ends a request without a response from a backend server.
type Failure struct {
	Kind       Kind
	RetryAfter time.Duration // Overrides the delay of the kind if positive.
	cause      error
	detail     string
}

// New returns a failure of the given kind.
func New(k Kind, format string, args ...any) *Failure {
	class := errs.Class(k)
	return &Failure{Kind: k, cause: class.New(format, args...), detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure of the given kind that is caused by err.
func Wrap(k Kind, err error) *Failure {
	class := errs.Class(k)
	return &Failure{Kind: k, cause: class.Wrap(err), detail: err.Error()}
}

// WithRetryAfter sets the delay after which the caller should retry, and returns
// the failure.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// Error returns the kind and the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Detail returns the description of the failure, without the kind.
func (f *Failure) Detail() string { return f.detail }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Outcome returns the outcome for the failure's kind.
func (f *Failure) Outcome() Outcome { return f.Kind.Response().Outcome }

// RetryDelay returns the delay after which the caller should retry, or zero if
// retrying cannot help.
func (f *Failure) RetryDelay() time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return f.Kind.Response().RetryAfter
}
