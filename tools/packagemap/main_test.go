package main

import (
	"strings"
	"testing"
)

func TestGraphHasTheImportsWithinTheModule(t *testing.T) {
	leaf := goPackage{ImportPath: "m/policy"}
	user := goPackage{ImportPath: "m/cmd/node", Imports: []string{"fmt", "m/policy"}}
	leaf.Module.Path, user.Module.Path = "m", "m"
	want := "```mermaid\ngraph LR\n    cmd/node --> policy\n    policy\n```\n"
	if got := drawGraph([]goPackage{user, leaf}); got != want {
		t.Errorf("drawGraph returned\n%swant\n%s", got, want)
	}
}

func TestReplaceKeepsTheRestOfThePage(t *testing.T) {
	page := "a\n" + beginMarker + "\nold\n" + endMarker + "\nb\n"
	got, err := replaceDiagram(page, "new\n")
	if want := strings.Replace(page, "old", "new", 1); err != nil || got != want {
		t.Errorf("replaceDiagram returned %q, error %v, want %q", got, err, want)
	}
	if _, err := replaceDiagram("no marker", ""); err == nil {
		t.Error("replaceDiagram accepted a page without markers")
	}
}
