// Command packagemap keeps a Mermaid diagram of the module's packages and their imports of each other up to date. The
// diagram is generated from the source, and stands between two marker lines of a page. Without -write the command exits
// with 1 if the page is out of date; with -write it updates the page:
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

// errOutOfDate is the error for a page whose diagram differs from the source.
var errOutOfDate = errors.New("the package diagram is out of date")

// goPackage has the fields that packagemap uses of a package in the output of go list.
type goPackage struct {
	ImportPath string
	Imports    []string
	Module     struct{ Path string }
}

func main() {
	root := flag.String("root", "..", "root of the module")
	page := flag.String("page", "docs/architecture.md", "path of the page, relative to the root")
	write := flag.Bool("write", false, "update the page instead of comparing")
	flag.Parse()
	if err := run(*root, filepath.Join(*root, *page), *write); err != nil {
		fmt.Fprintf(os.Stderr, "packagemap: %v\n", err)
		os.Exit(1)
	}
}

func run(root, page string, write bool) error {
	packages, err := listPackages(root)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	updated, err := replaceDiagram(string(text), drawGraph(packages))
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

// listPackages returns the packages of the module at root, as go list reports them.
func listPackages(root string) ([]goPackage, error) {
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

// drawGraph returns the Mermaid source of the diagram: a line for each import of one package of the module by another,
// and one for each package that imports none.
func drawGraph(packages []goPackage) string {
	var lines []string
	for _, p := range packages {
		prefix := p.Module.Path + "/"
		name := strings.TrimPrefix(p.ImportPath, prefix)
		imported := false
		for _, path := range p.Imports {
			if other, inModule := strings.CutPrefix(path, prefix); inModule {
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

// replaceDiagram returns the page with the diagram between its markers.
func replaceDiagram(page, diagram string) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker+"\n")
	if !found {
		return "", fmt.Errorf("no line %q", beginMarker)
	}
	_, after, found := strings.Cut(rest, endMarker)
	if !found {
		return "", fmt.Errorf("no line %q", endMarker)
	}
	return before + beginMarker + "\n" + diagram + endMarker + after, nil
}
