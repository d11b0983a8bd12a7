package engine

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// TestPromptIsEncodedWhileRead checks that the body of a request is the JSON of its fields and the prompt, of the size that is
// announced.
func TestPromptIsEncodedWhileRead(t *testing.T) {
	for _, prompt := range []string{"", "x", `a "quoted" \ one`, "\x00\n\t\x1f", "grüße, 世界 \u2028", strings.Repeat("\x01long", 10_000)} {
		want := Decode{Request: `r"prompt":""`, Model: "m", Prompt: prompt, MaxTokens: 4}
		in := want
		in.Prompt = ""
		r, size, err := requestBody(in, []byte(prompt))
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(iotest.OneByteReader(r))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(size, int64(len(b))); d != "" {
			t.Errorf("size (-announced +read):\n%s", d)
		}
		var got Decode
		if err := json.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("request (-want +got):\n%s", d)
		}
	}
}
