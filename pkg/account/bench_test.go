package account_test

import (
	"fmt"
	"runtime"
	"testing"

	"laburnumpick.org/pkg/account"
	"laburnumpick.org/pkg/site"
)

// BenchmarkAcquire measures the time of a request's limit check, and the heap,
// with 420,000 accounts active in one VM.
func BenchmarkAcquire(b *testing.B) {
	const n = 420_000
	names := make([]site.AccountName, n)
	for i := range names {
		names[i] = site.AccountName(fmt.Sprintf("account-%d", i))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := account.NewLimiter()
	lim := account.Limits{Rate: 1e6, Burst: 1_000_000, InFlight: 10}
	for _, a := range names {
		l.Acquire(start, a, lim)
		l.Release(a)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	defer b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	i := 0
	for b.Loop() {
		i++
		a := names[(i*7919)%n]
		l.Acquire(start, a, lim)
		l.Release(a)
	}
}
