package fleetapi

import (
	"math"

	"laburnumpick.org/pkg/quota"
	"laburnumpick.org/pkg/site"
)

// Values of TakeTokenAnswer.verdict.
const (
	tokenGranted   = "granted"
	tokenExhausted = "exhausted"
	tokenNotHome   = "notHome"
)

// FromAsk converts a request for a token.
func FromAsk(a quota.Ask) *TakeTokenRequest {
	return &TakeTokenRequest{
		Account: fromText(a.Part.Account), Part: int32(a.Part.Index),
		Rate: float64(a.Terms.Quota.Rate), Burst: int32(a.Terms.Quota.Burst), CatalogVersion: a.Terms.Version,
		Skipped: int32(a.Skipped), SkippedMs: a.SkippedFor.Milliseconds(), MaxWaitMs: a.MaxWait.Milliseconds(), Again: a.Again,
	}
}

// ToAsk converts a request for a token.
func ToAsk(m *TakeTokenRequest) quota.Ask {
	return quota.Ask{
		Part: quota.PartID{Account: toText[site.AccountName](m.GetAccount()), Index: quota.Index(max(0, m.GetPart()))},
		Terms: quota.Terms{
			Quota:   toQuota(m.GetRate(), m.GetBurst()),
			Version: m.GetCatalogVersion(),
		},
		Skipped: int(max(0, m.GetSkipped())), SkippedFor: max(0, fromMilliseconds(m.GetSkippedMs())),
		MaxWait: max(0, fromMilliseconds(m.GetMaxWaitMs())), Again: m.GetAgain(),
	}
}

// toQuota converts a quota. A rate that is no finite number above zero allows nothing.
func toQuota(rate float64, burst int32) site.Quota {
	if !(rate > 0) || math.IsInf(rate, 0) {
		return site.Quota{}
	}
	return site.Quota{Rate: site.RequestRate(rate), Burst: int(max(0, burst))}
}

// FromTokenAnswer converts the answer to a request for a token.
func FromTokenAnswer(a quota.Answer) *TakeTokenAnswer {
	switch a := a.(type) {
	case quota.Granted:
		return &TakeTokenAnswer{Verdict: tokenGranted, WaitUs: ceilMicroseconds(a.Wait), Hint: fromHint(a.Hint)}
	case quota.Exhausted:
		return &TakeTokenAnswer{Verdict: tokenExhausted, WaitUs: ceilMicroseconds(a.RetryAfter), Hint: fromHint(a.Hint)}
	case quota.NotHome:
	}
	return &TakeTokenAnswer{Verdict: tokenNotHome}
}

// ToTokenAnswer converts the answer to a request for a token. A verdict that is not known
// counts as that of a VM that does not decide.
func ToTokenAnswer(m *TakeTokenAnswer) quota.Answer {
	wait := max(0, fromMicroseconds(m.GetWaitUs()))
	switch m.GetVerdict() {
	case tokenGranted:
		return quota.Granted{Wait: wait, Hint: toHint(m.GetHint())}
	case tokenExhausted:
		return quota.Exhausted{RetryAfter: wait, Hint: toHint(m.GetHint())}
	default:
		return quota.NotHome{}
	}
}

// FromUsage converts the state of a part.
func FromUsage(u quota.Usage) *TokenUsage {
	return &TokenUsage{Tokens: u.Tokens, Taken: int32(u.Taken), Demand: u.Demand}
}

// fromHint converts a hint. It returns nil for one that says nothing.
func fromHint(h quota.Hint) *TokenHint {
	if h == quota.NoHint() {
		return nil
	}
	return &TokenHint{Admit: h.Admit, Overall: h.Overall}
}

// toHint converts a hint. One whose probabilities do not lie between 0 and 1 says nothing.
func toHint(m *TokenHint) quota.Hint {
	if m == nil || !(m.GetAdmit() > 0 && m.GetAdmit() <= 1 && m.GetOverall() > 0 && m.GetOverall() <= 1) {
		return quota.NoHint()
	}
	return quota.Hint{Admit: m.GetAdmit(), Overall: m.GetOverall()}
}
