package stand

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var words = []string{
	"thesis", "panel", "order", "tray", "menu", "round", "draft", "review",
	"kitchen", "chapter", "report", "bread", "candidate", "office", "summary", "note",
}

// Word returns the token at an index of the answer to a prompt.
func Word(prompt string, index int64) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s", index, prompt))
	return words[h%uint64(len(words))] + " "
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt string, n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Word(prompt, i))
	}
	return b.String()
}
