package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumpick.org/pkg/control"
	"laburnumpick.org/pkg/outcome"
	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/record"
	"laburnumpick.org/pkg/site"
)

// Quotas decides on the fleet-wide quotas of client accounts.
type Quotas interface {
	// TakeToken asks the VMs that decide on a quota whether a request may run.
	TakeToken(ctx context.Context, r quota.Request) quota.Verdict
}

const (
	// maxTokenWait is the longest wait of a request within its quota for a token.
	maxTokenWait = 500 * time.Millisecond
	// tokenWaitShare is the part of the time to a request's target that it may wait for a
	// token.
	tokenWaitShare = 0.4
	// quotaJitter spreads the retries of refused callers over a part of the delay that
	// they are told.
	quotaJitter = 0.5
)

// takeToken takes a token of the account's quota, if it has one. It returns a failure if
// the request must not run.
func (x *exchange) takeToken(ctx context.Context) *outcome.Failure {
	a := x.accountObject()
	if a == nil || !a.Quota.Limited() {
		return nil
	}
	r := quota.Request{
		Account: a.Name, Terms: quota.Terms{Quota: a.Quota, Version: int64(x.config.Version)}, MaxWait: x.maxTokenWait(ctx, time.Now()),
	}
	switch v := x.entry.cfg.Quotas.TakeToken(ctx, r).(type) {
	case quota.Allowed:
		if err := control.Sleep(ctx, v.Wait); err != nil {
			return outcome.New(outcome.DeadlinePassed, "the deadline passed while the request waited for its account's quota")
		}
		return nil
	case quota.Refused:
		x.overQuota = &overQuota{a.Quota, v}
		f := outcome.New(outcome.AccountLimit, "account %q exceeds its quota of %v requests per second", x.account, a.Quota.Rate)
		return f.WithRetryAfter(jittered(v.RetryAfter))
	case quota.Undecided:
		f := outcome.New(outcome.Overload, "no VM that decides on the quota of account %q could be reached", x.account)
		return f.WithRetryAfter(jittered(v.RetryAfter))
	}
	return outcome.New(outcome.Overload, "the quota of account %q could not be decided", x.account)
}

// overQuota is a refusal of a request whose account has used up its quota.
type overQuota struct {
	quota   site.Quota
	refused quota.Refused
}

// log logs the refusal with the fields of the request, if the rate limit of lines allows.
func (o *overQuota) log(now time.Time, a site.AccountName, fields []any) {
	record.LogSampled(now, record.OverQuota, "entry: quota used up", append(fields, "account", a, "rate", o.quota.Rate,
		"burst", o.quota.Burst, "tokenIn", o.refused.RetryAfter, "byHint", o.refused.Local, "parts", o.refused.Detail)...)
}

// jittered returns a retry delay that differs between callers refused at the same time.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*quotaJitter*float64(d))
}

// maxTokenWait returns how long the request may wait for a token.
func (x *exchange) maxTokenWait(ctx context.Context, now time.Time) time.Duration {
	left := maxTokenWait
	if x.match.Target > 0 {
		left = min(left, time.Duration(tokenWaitShare*float64(x.receivedAt.Add(x.match.Target).Sub(now))))
	}
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Duration(tokenWaitShare*float64(deadline.Sub(now))))
	}
	return max(0, left)
}
