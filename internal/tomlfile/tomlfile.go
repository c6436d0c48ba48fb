// Package tomlfile decodes TOML files strictly: an unknown key is an error, and errors name the file, the line and the
// key as far as they are known.
package tomlfile

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Problem is an error in a file.
type Problem struct {
	File   string
	Line   int    // 0: unknown
	Key    string // empty: unknown
	Reason string // in words
}

// Error returns FILE:LINE: KEY: REASON, without the parts that are unknown.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		location += ": " + p.Key
	}
	return location + ": " + p.Reason
}

// Decode decodes text into a struct with toml tags. The error is a Problem if the text cannot be decoded, or joins a
// Problem for each unknown key.
func Decode(file string, text []byte, target any) error {
	meta, err := toml.Decode(string(text), target)
	if err != nil {
		return decodeProblem(file, err)
	}
	var problems []error
	for _, key := range meta.Undecoded() {
		problems = append(problems, ProblemAt(file, text, key.String(), "unknown key"))
	}
	return errors.Join(problems...)
}

// typeMessage matches the TOML library's message about a value of the wrong type.
var typeMessage = regexp.MustCompile(`^line (\d+) \(last key "(.*?)"\): (.*)$`)

// decodeProblem returns the Problem for an error of the TOML library.
func decodeProblem(file string, err error) Problem {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return Problem{
			File:   file,
			Line:   parseError.Position.Line,
			Key:    parseError.LastKey,
			Reason: parseError.Message,
		}
	}
	message := strings.TrimPrefix(err.Error(), "toml: ")
	parts := typeMessage.FindStringSubmatch(message)
	if parts == nil {
		return Problem{File: file, Reason: message}
	}
	line, _ := strconv.Atoi(parts[1]) // the pattern matches only digits
	return Problem{
		File:   file,
		Line:   line,
		Key:    parts[2],
		Reason: parts[3],
	}
}

// ProblemAt returns a Problem with a key such as "world.tier[1].cores". Its line is the one that assigns the key, or if
// there is none the header of the key's table.
func ProblemAt(file string, text []byte, key, why string) Problem {
	return Problem{
		File:   file,
		Line:   findLine(text, key),
		Key:    key,
		Reason: why,
	}
}
