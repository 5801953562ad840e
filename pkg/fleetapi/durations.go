package fleetapi

import "time"

// maxDuration bounds the durations in messages, so that a malformed one cannot overflow or
// take effect for good.
const maxDuration = 24 * time.Hour

// fromMilliseconds converts a duration of a message.
func fromMilliseconds(n int64) time.Duration { return boundedDuration(n, time.Millisecond) }

// fromMicroseconds converts a duration of a message.
func fromMicroseconds(n int64) time.Duration { return boundedDuration(n, time.Microsecond) }

// boundedDuration returns n units, at most maxDuration in either direction.
func boundedDuration(n int64, unit time.Duration) time.Duration {
	most := int64(maxDuration / unit)
	return time.Duration(min(max(n, -most), most)) * unit
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// ceilMicroseconds returns a duration in microseconds, rounded up.
func ceilMicroseconds(d time.Duration) int64 {
	return (d + time.Microsecond - 1).Microseconds()
}
