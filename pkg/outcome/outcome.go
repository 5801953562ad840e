// Package outcome names what can become of a caller's request and how the
// caller is told.
//
// The list of kinds is closed: each failure inside the fleet ends as exactly
// one kind, and one table maps the kind to the outcome, the HTTP status and
// the advice that the caller gets.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Outcome says whether a request ran on a backend server.
type Outcome string

const (
	// Answered means that a backend server's whole answer is attached.
	Answered Outcome = "answered"
	// NotRun means that no byte of the request reached a handler.
	NotRun Outcome = "notRun"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Kind is the reason why a request has no backend server's answer.
type Kind string

// The closed list of kinds.
const (
	Malformed       Kind = "malformed"
	NoSuchService   Kind = "noSuchService"
	HeaderTooLarge  Kind = "headerTooLarge"
	TooSlow         Kind = "tooSlow"
	BodyTooLarge    Kind = "bodyTooLarge"
	KeyMissing      Kind = "keyMissing"
	KeyReused       Kind = "keyReused"
	AccountLimit    Kind = "accountLimit"
	Overload        Kind = "overload"
	NoServer        Kind = "noServer"
	StoreAway       Kind = "storeAway"
	EarlierUnsure   Kind = "earlierUnsure"
	Quarantined     Kind = "quarantined"
	CrashedServers  Kind = "crashedServers"
	DeadlinePassed  Kind = "deadlinePassed"
	Canceled        Kind = "canceled"
	CallerLeft      Kind = "callerLeft"
	InProgress      Kind = "inProgress"
	Superseded      Kind = "superseded"
	HopLost         Kind = "hopLost"
	ServerLost      Kind = "serverLost"
	ServerSilent    Kind = "serverSilent"
	AnswerBroken    Kind = "answerBroken"
	AnswerNotKept   Kind = "answerNotKept"
	CatalogNotReady Kind = "catalogNotReady"
)

// Response is what a caller is told for a kind.
type Response struct {
	Outcome    Outcome
	Status     int
	RetryAfter time.Duration // Zero where trying again cannot help.
	Advice     string
}

// answers is the table from kind to answer.
var answers = map[Kind]Response{
	Malformed:       {NotRun, http.StatusBadRequest, 0, "mend the request"},
	NoSuchService:   {NotRun, http.StatusNotFound, 0, "check the host name"},
	HeaderTooLarge:  {NotRun, http.StatusRequestHeaderFieldsTooLarge, 0, "send smaller headers"},
	TooSlow:         {NotRun, http.StatusRequestTimeout, time.Second, "send the whole request at once"},
	BodyTooLarge:    {NotRun, http.StatusRequestEntityTooLarge, 0, "send a smaller body"},
	KeyMissing:      {NotRun, http.StatusPreconditionRequired, 0, "send the idempotency key that the rule asks for"},
	KeyReused:       {NotRun, http.StatusUnprocessableEntity, 0, "use a new key for a different request"},
	AccountLimit:    {NotRun, http.StatusTooManyRequests, time.Second, "slow down"},
	Overload:        {NotRun, http.StatusServiceUnavailable, time.Second, "try again later"},
	NoServer:        {NotRun, http.StatusServiceUnavailable, 2 * time.Second, "try again later"},
	StoreAway:       {NotRun, http.StatusServiceUnavailable, 5 * time.Second, "try again with the same key"},
	EarlierUnsure:   {Unknown, http.StatusServiceUnavailable, 5 * time.Second, "this attempt was not sent; try again with the same key to learn of earlier ones"},
	Quarantined:     {NotRun, http.StatusServiceUnavailable, time.Minute, "this request has crashed backend servers; do not repeat it"},
	CrashedServers:  {Unknown, http.StatusBadGateway, 0, "this request has taken backend servers down; do not repeat it"},
	DeadlinePassed:  {NotRun, http.StatusServiceUnavailable, time.Second, "try again with a longer deadline"},
	Canceled:        {NotRun, 499, 0, "the caller went away"},
	CallerLeft:      {Unknown, http.StatusBadGateway, 0, "the caller went away while a server ran the request"},
	InProgress:      {Unknown, http.StatusConflict, time.Second, "the first request with this key is still running; ask for its outcome"},
	Superseded:      {NotRun, http.StatusConflict, time.Second, "try again with the same key"},
	HopLost:         {Unknown, http.StatusBadGateway, time.Second, "ask for the outcome by the key, or check the effect"},
	ServerLost:      {Unknown, http.StatusBadGateway, time.Second, "ask for the outcome by the key, or check the effect"},
	ServerSilent:    {Unknown, http.StatusGatewayTimeout, time.Second, "ask for the outcome by the key, or check the effect"},
	AnswerBroken:    {Unknown, http.StatusBadGateway, time.Second, "ask for the outcome by the key, or check the effect"},
	AnswerNotKept:   {Answered, http.StatusConflict, 0, "the request ran once; its answer was too large to keep"},
	CatalogNotReady: {NotRun, http.StatusServiceUnavailable, 2 * time.Second, "this VM has no configuration yet; try again"},
}

// Response returns the kind's row of the table. A kind from outside the list is
// answered as unknown, the only claim that is true of it.
func (k Kind) Response() Response {
	a, ok := answers[k]
	if !ok {
		return Response{Unknown, http.StatusBadGateway, time.Second, "check the effect"}
	}
	return a
}

// Kinds returns the closed list in no particular order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(answers))
	for k := range answers {
		ks = append(ks, k)
	}
	return ks
}

// Failure is the end of a request that has no backend server's answer.
type Failure struct {
	Kind       Kind
	RetryAfter time.Duration // Overrides the table's advice when positive.
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

// WithRetryAfter sets when the caller should come back and returns the failure.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// Error returns the kind followed by the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Detail returns what happened, without the kind.
func (f *Failure) Detail() string { return f.detail }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Outcome returns what the caller may conclude.
func (f *Failure) Outcome() Outcome { return f.Kind.Response().Outcome }

// RetryDelay returns when the caller should try again, or zero for never.
func (f *Failure) RetryDelay() time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return f.Kind.Response().RetryAfter
}
