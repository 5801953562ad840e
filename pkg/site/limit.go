package site

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// RequestLimit is how many requests a backend server takes from all VMs together. The
// zero value is that of a server that names no limit.
type RequestLimit struct {
	Named bool
	Rate  RequestRate // At least 0.
}

// LimitOf returns the limit of a rate.
func LimitOf(r RequestRate) RequestLimit { return RequestLimit{Named: true, Rate: r} }

// String returns the rate, or "none".
func (l RequestLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(float64(l.Rate), 'g', -1, 64)
}

// IsLowerThan reports whether the limit allows fewer requests than another one.
func (l RequestLimit) IsLowerThan(o RequestLimit) bool {
	return l.Named && (!o.Named || l.Rate < o.Rate)
}

// ParseRequestLimit returns the limit that the values of a header name, each a decimal
// number of requests per second. Of several valid values it returns the lowest. The
// error describes all that is wrong with the values; unless the limit is named, nothing
// can be concluded from them.
func ParseRequestLimit(values []string) (RequestLimit, error) {
	var lowest RequestLimit
	var errs []error
	for _, text := range values {
		l, err := parseRequestLimit(text)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if l.IsLowerThan(lowest) {
			lowest = l
		}
	}
	if len(values) > 1 {
		errs = append(errs, fmt.Errorf("the limit is named %d times", len(values)))
	}
	return lowest, errors.Join(errs...)
}

func parseRequestLimit(text string) (RequestLimit, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil, math.IsNaN(rate), math.IsInf(rate, 0), strings.ContainsAny(text, "xX"):
		return RequestLimit{}, fmt.Errorf("limit %.40q is not a finite decimal number", text)
	case rate < 0:
		return RequestLimit{}, fmt.Errorf("limit %.40q is negative", text)
	}
	return LimitOf(RequestRate(rate)), nil
}
