// Package tomlfile reads TOML files strictly: a key that nothing takes is an error, and every error names the file,
// the line and the key.
package tomlfile

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string
	Line int // 0: not known
	Key  string
	Why  string
}

func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		at += ": " + p.Key
	}
	return at + ": " + p.Why
}

// Decode reads text into a struct with toml tags. The error joins a Problem for each key that the struct does not have,
// or holds the one Problem that made the text unreadable.
func Decode(file string, text []byte, into any) error {
	meta, err := toml.Decode(string(text), into)
	var parse toml.ParseError
	switch {
	case errors.As(err, &parse):
		return Problem{file, parse.Position.Line, parse.LastKey, parse.Message}
	case err != nil:
		why := strings.TrimPrefix(err.Error(), "toml: ")
		if m := located.FindStringSubmatch(why); m != nil {
			n, _ := strconv.Atoi(m[1]) // digits
			return Problem{file, n, m[2], m[3]}
		}
		return Problem{file, 0, "", why}
	}
	var all []error
	for _, key := range meta.Undecoded() {
		all = append(all, ProblemAt(file, text, key.String(), "unknown key"))
	}
	return errors.Join(all...)
}

// ProblemAt is a Problem with a key such as "world.tier[1].cores", at the line where the text has it or, where it is
// missing, at its table.
func ProblemAt(file string, text []byte, key, why string) Problem {
	return Problem{file, line(text, key), key, why}
}

var (
	header = regexp.MustCompile(`^\s*(\[\[?)\s*([^\]]+?)\s*\]`)
	assign = regexp.MustCompile(`^\s*([A-Za-z0-9_."-]+)\s*=`)
	// located is the library's word on a value of the wrong type.
	located = regexp.MustCompile(`^line (\d+) \(last key "(.*?)"\): (.*)$`)
	index   = regexp.MustCompile(`\[\d+\]`)
)

// line finds a key. A table array's index counts its headers; a key without indices is found in the first that has it.
func line(text []byte, key string) int {
	loose := index.ReplaceAllString(key, "") == key
	table, best := 0, 0
	prefix := "" // of the table that the line is in, with indices
	counts := map[string]int{}
	for n, l := range strings.Split(string(text), "\n") {
		if m := header.FindStringSubmatch(l); m != nil {
			prefix = m[2]
			if m[1] == "[[" {
				prefix = fmt.Sprintf("%s[%d]", m[2], counts[m[2]])
				counts[m[2]]++
			}
			if same(prefix, key, loose) {
				return n + 1
			}
			if strings.HasPrefix(strip(key, loose), strip(prefix, loose)+".") && len(prefix) > best {
				table, best = n+1, len(prefix)
			}
			continue
		}
		if m := assign.FindStringSubmatch(l); m != nil {
			full := m[1]
			if prefix != "" {
				full = prefix + "." + m[1]
			}
			if same(full, key, loose) {
				return n + 1
			}
		}
	}
	return table
}

func strip(key string, loose bool) string {
	if loose {
		return index.ReplaceAllString(key, "")
	}
	return key
}

func same(full, key string, loose bool) bool { return strip(full, loose) == key }
