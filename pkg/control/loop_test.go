package control_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumpick.org/pkg/control"
)

// TestDoNeverRunsAfterReturningFalse ends contexts while functions wait in the
// queue. A function that Do reports as not run must not write to the caller's
// variables later; the race detector would report that as well.
func TestDoNeverRunsAfterReturningFalse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		l := control.NewLoop(time.Hour, func(time.Time) {})
		go func() { _ = l.Serve(ctx) }()
		l.Post(func(time.Time) { time.Sleep(10 * time.Millisecond) }) // The loop is busy.
		var wg sync.WaitGroup
		gaveUp := 0
		var mu sync.Mutex
		for i := range 20 {
			wg.Go(func() {
				short, cancel := context.WithTimeout(ctx, time.Duration(i)*time.Millisecond)
				defer cancel()
				ran := false
				if !l.Do(short, func(time.Time) { ran = true }) {
					mu.Lock()
					gaveUp++
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					assert.Assert(t, !ran)
					return
				}
				assert.Assert(t, ran)
			})
		}
		wg.Wait()
		assert.Assert(t, gaveUp >= 10 && gaveUp < 20, "%d of 20 calls gave up", gaveUp)
		stop()
	})
}

func TestTickerTicksAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tk := control.NewTicker(time.Second)
		start := time.Now()
		for i := range 3 {
			<-tk.C
			assert.Equal(t, time.Since(start), time.Duration(i+1)*time.Second)
		}
		tk.Stop()
		time.Sleep(5 * time.Second)
		select {
		case <-tk.C:
			t.Fatal("the ticker ticked after Stop")
		default:
		}
	})
}
