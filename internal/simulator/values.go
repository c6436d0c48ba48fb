package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"keelusher/policy"
)

// maxNumber is the largest absolute value allowed for a time in milliseconds, so that the time fits into a
// time.Duration, and for a reported load.
const maxNumber = 1e12

// values parses the values of one line by position, and keeps the first error.
type values struct {
	word  string
	parts []string
	err   error
}

func newValues(word, rest string) *values {
	return &values{
		word:  word,
		parts: strings.Split(rest, "\t"),
	}
}

// fail records that a value is invalid, unless there is an earlier error.
func (v *values) fail(position int, problem string) {
	if v.err == nil {
		v.err = fmt.Errorf("%s: value %d %s", v.word, position+1, problem)
	}
}

// optionalText returns a value, or "" if it is absent.
func (v *values) optionalText(position int) string {
	if position >= len(v.parts) || v.parts[position] == absentValue {
		return ""
	}
	return v.parts[position]
}

// text returns a value that must be present.
func (v *values) text(position int) string {
	text := v.optionalText(position)
	if text == "" {
		v.fail(position, "is missing")
	}
	return text
}

func (v *values) integer(position int) int {
	number, err := strconv.Atoi(v.text(position))
	if err != nil {
		v.fail(position, "is not an integer")
	}
	return number
}

// optionalInteger returns an integer, or 0 if it is absent.
func (v *values) optionalInteger(position int) int {
	if v.optionalText(position) == "" {
		return 0
	}
	return v.integer(position)
}

// unsigned returns a 64-bit integer, which the input may write as a signed number.
func (v *values) unsigned(position int) uint64 {
	text := v.text(position)
	if number, err := strconv.ParseUint(text, 10, 64); err == nil {
		return number
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		v.fail(position, "is not an integer")
	}
	return uint64(number)
}

// optionalUnsigned returns a 64-bit integer, or 0 if it is absent.
func (v *values) optionalUnsigned(position int) uint64 {
	if v.optionalText(position) == "" {
		return 0
	}
	return v.unsigned(position)
}

// milliseconds returns the duration that a number of milliseconds gives.
func (v *values) milliseconds(position int) time.Duration {
	number, ok := parseNumber(v.text(position))
	if !ok {
		v.fail(position, "is not a time in milliseconds")
		return 0
	}
	return fromMilliseconds(number)
}

// optionalMilliseconds returns a duration, or 0 if it is absent.
func (v *values) optionalMilliseconds(position int) time.Duration {
	if v.optionalText(position) == "" {
		return 0
	}
	return v.milliseconds(position)
}

func (v *values) endpointState(position int) policy.EndpointState {
	state, ok := endpointStates[v.integer(position)]
	if !ok {
		v.fail(position, "is not an endpoint state")
	}
	return state
}

func (v *values) attemptResult(position int) policy.AttemptResult {
	result, ok := attemptResults[v.text(position)]
	if !ok {
		v.fail(position, "is not an attempt result")
	}
	return result
}

// load parses a load report, which consists of name:value pairs separated by commas. It returns nil if the report is
// absent; a load that the report lacks is -1.
func (v *values) load(position int) *policy.Load {
	report := v.optionalText(position)
	if report == "" {
		return nil
	}
	load := &policy.Load{BusyRequests: -1, ServiceTime: -1}
	for _, pair := range strings.Split(report, ",") {
		name, text, _ := strings.Cut(pair, ":")
		number, ok := parseNumber(text)
		if !ok {
			v.fail(position, "is not a load report")
			return nil
		}
		switch name {
		case loadBusy:
			load.BusyRequests = number
		case loadService:
			load.ServiceTime = fromMilliseconds(number)
		}
	}
	return load
}

// parseNumber parses a number; ok is false if it is not a number or if its absolute value exceeds maxNumber.
func parseNumber(text string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	ok = err == nil && !math.IsNaN(number) && math.Abs(number) <= maxNumber
	return number, ok
}

// fromMilliseconds converts milliseconds to a duration, rounded to a nanosecond.
func fromMilliseconds(number float64) time.Duration {
	return time.Duration(math.Round(number * float64(time.Millisecond)))
}
