// Package tomlfile reads TOML files strictly: an unknown key is an error, and every error names the file, the line and
// the key.
package tomlfile

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string
	Line int    // 0: not known
	Key  string // empty: not known
	Why  string
}

// Error returns FILE:LINE: KEY: WHY, without what is not known.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		location += ": " + p.Key
	}
	return location + ": " + p.Why
}

// Decode reads text into a struct with toml tags. The error joins a Problem for each unknown key, or is the one Problem
// for which the text cannot be read.
func Decode(file string, text []byte, into any) error {
	meta, err := toml.Decode(string(text), into)
	if err != nil {
		return decodeProblem(file, err)
	}
	var problems []error
	for _, key := range meta.Undecoded() {
		problems = append(problems, ProblemAt(file, text, key.String(), "unknown key"))
	}
	return errors.Join(problems...)
}

// typeMessage is the library's message on a value of the wrong type.
var typeMessage = regexp.MustCompile(`^line (\d+) \(last key "(.*?)"\): (.*)$`)

// decodeProblem is the Problem for an error of the library.
func decodeProblem(file string, err error) Problem {
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return Problem{
			File: file,
			Line: parseError.Position.Line,
			Key:  parseError.LastKey,
			Why:  parseError.Message,
		}
	}
	message := strings.TrimPrefix(err.Error(), "toml: ")
	parts := typeMessage.FindStringSubmatch(message)
	if parts == nil {
		return Problem{File: file, Why: message}
	}
	line, _ := strconv.Atoi(parts[1]) // digits
	return Problem{
		File: file,
		Line: line,
		Key:  parts[2],
		Why:  parts[3],
	}
}

// ProblemAt is a Problem with a key such as "world.tier[1].cores", at the line where the text has it or, where it is
// missing, at its table.
func ProblemAt(file string, text []byte, key, why string) Problem {
	return Problem{
		File: file,
		Line: findLine(text, key),
		Key:  key,
		Why:  why,
	}
}
