package fleetapi

import "time"

// maxMilliseconds bounds the durations in messages, so that a malformed one cannot overflow
// or take effect for good.
const maxMilliseconds = int64(24 * time.Hour / time.Millisecond)

// fromMilliseconds converts a duration of a message.
func fromMilliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -maxMilliseconds), maxMilliseconds)) * time.Millisecond
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
