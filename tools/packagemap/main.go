// Command packagemap draws the packages of the module and what they import from each other, as a Mermaid graph made
// from the source, and keeps it in a page between two marker lines. It compares, and exits with 1 if the page is out of
// date; with -write it brings the page up to date:
//
//	cd tools && go run ./packagemap -root .. -page docs/architecture.md
//	cd tools && go run ./packagemap -root .. -page docs/architecture.md -write
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
)

const (
	beginMarker = "<!-- packages: begin -->"
	endMarker   = "<!-- packages: end -->"
)

// errOutOfDate says that the page shows other imports than the source has.
var errOutOfDate = errors.New("the picture of the packages is out of date")

// goPackage is what packagemap reads of an entry of go list.
type goPackage struct {
	ImportPath string
	Imports    []string
	Module     struct{ Path string }
}

func main() {
	root := flag.String("root", "..", "root of the module to draw")
	page := flag.String("page", "docs/architecture.md", "the page, relative to the root")
	write := flag.Bool("write", false, "bring the page up to date instead of comparing")
	flag.Parse()
	if err := run(*root, filepath.Join(*root, *page), *write); err != nil {
		fmt.Fprintf(os.Stderr, "packagemap: %v\n", err)
		os.Exit(1)
	}
}

func run(root, page string, write bool) error {
	packages, err := list(root)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	updated, err := replace(string(text), graph(packages))
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	if updated == string(text) {
		return nil
	}
	if !write {
		return fmt.Errorf("%s: %w; run packagemap with -write", page, errOutOfDate)
	}
	if err := os.WriteFile(page, []byte(updated), 0o644); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// list reads the packages of the module at root with go list.
func list(root string) ([]goPackage, error) {
	command := exec.Command("go", "list", "-json=ImportPath,Imports,Module", "./...")
	command.Dir = root
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("go list in %s: %w", root, err)
	}
	var packages []goPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p goPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return packages, nil
		}
		if err != nil {
			return nil, fmt.Errorf("output of go list: %w", err)
		}
		packages = append(packages, p)
	}
}

// graph gives the Mermaid text: a line for each import of one package of the module by another.
func graph(packages []goPackage) string {
	var lines []string
	for _, p := range packages {
		prefix := p.Module.Path + "/"
		name := strings.TrimPrefix(p.ImportPath, prefix)
		imported := false
		for _, path := range p.Imports {
			if other, ours := strings.CutPrefix(path, prefix); ours {
				lines = append(lines, fmt.Sprintf("    %s --> %s", name, other))
				imported = true
			}
		}
		if !imported {
			lines = append(lines, "    "+name)
		}
	}
	sort.Strings(lines)
	return "```mermaid\ngraph LR\n" + strings.Join(lines, "\n") + "\n```\n"
}

// replace puts the picture between the markers of the page.
func replace(page, picture string) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker+"\n")
	if !found {
		return "", fmt.Errorf("no line %q", beginMarker)
	}
	_, after, found := strings.Cut(rest, endMarker)
	if !found {
		return "", fmt.Errorf("no line %q", endMarker)
	}
	return before + beginMarker + "\n" + picture + endMarker + after, nil
}
