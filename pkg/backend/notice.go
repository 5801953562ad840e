package backend

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServerLeaves is the value of HeaderServerLeaving, or of the header that the contract
// names, with which a server says that it leaves.
const ServerLeaves = "1"

// headerRetryAfter names, in a refusal, the seconds for which the server wants no requests
// from the VM.
const headerRetryAfter = "Retry-After"

// MaxPause is the longest time for which a server gets no requests from a VM because of
// one response. Longer times are most likely errors.
const MaxPause = 10 * time.Minute

// Leaving reports whether the head of a response says that its server leaves. The error
// describes values that say nothing.
func (c Contract) Leaving(h http.Header) (bool, error) {
	name := cmp.Or(c.HeaderLeaving, HeaderServerLeaving)
	leaves := false
	var errs []error
	for _, text := range h.Values(name) {
		if strings.TrimSpace(text) == ServerLeaves {
			leaves = true
			continue
		}
		errs = append(errs, fmt.Errorf("value %.40q of %s is not %s", text, name, ServerLeaves))
	}
	return leaves, errors.Join(errs...)
}

// Pause returns for how long the server of a refusal with status 503 wants no requests from
// this VM, at most MaxPause. Of several valid values it returns the longest. The error
// describes all that is wrong with the values.
func (c Contract) Pause(status int, h http.Header) (time.Duration, error) {
	if status != http.StatusServiceUnavailable {
		return 0, nil
	}
	values := h.Values(headerRetryAfter)
	longest := time.Duration(0)
	var errs []error
	for _, text := range values {
		d, err := parsePause(text)
		errs = append(errs, err)
		longest = max(longest, d)
	}
	if len(values) > 1 {
		errs = append(errs, fmt.Errorf("%s is given %d times", headerRetryAfter, len(values)))
	}
	return longest, errors.Join(errs...)
}

// parsePause parses a number of seconds. Dates are not accepted, because the clocks of
// servers and VMs differ.
func parsePause(text string) (time.Duration, error) {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case strings.ContainsAny(text, "xXnN_"), err != nil && !errors.Is(err, strconv.ErrRange):
		return 0, fmt.Errorf("%s %.40q is not a decimal number of seconds", headerRetryAfter, text)
	case s < 0:
		return 0, fmt.Errorf("%s %.40q is negative", headerRetryAfter, text)
	case s > MaxPause.Seconds():
		return MaxPause, fmt.Errorf("%s %.40q is longer than %v", headerRetryAfter, text, MaxPause)
	}
	return time.Duration(math.Ceil(s * float64(time.Second))), nil
}
