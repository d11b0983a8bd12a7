//go:build crowd

package crowd

import (
	"strings"
	"testing"

	"cranberrypoint.example/coord/crowd"
)

const (
	// clients is the number of clients of a crowd that sends bodies, and manyClients of one that opens more connections than
	// there are descriptors.
	clients     = 48
	manyClients = 300
	// smallChunk and largeChunk are sizes of chunks, in bytes.
	smallChunk = 8
	largeChunk = 1 << 20
	// headBytes is the size of a head that never ends.
	headBytes = 200 << 10
	// endless is the size of what a client sends that goes on beyond all limits, in bytes.
	endless = 32 << 20
	// keptAnswers is the number of calls of each client whose answers are kept, and keptBytes the size of an answer.
	keptAnswers = 300
	keptBytes   = 60 << 10
	// promptBytes is the size of a prompt of which the largest body has room.
	promptBytes = maxBody - 256
)

// slowPath is a path of the plain service that takes workTime.
var slowPath = "POST /decisions/x?delay=" + workTime.String()

func toPlain(b crowd.Body) crowd.Client {
	return crowd.Client{Send: crowd.SendRequest(slowPath, crowdFields, b)}
}

func toEngine(b crowd.Body) crowd.Client {
	return crowd.Client{Send: crowd.SendRequest("POST /v1/completions", crowdFields, b)}
}

func toChat(b crowd.Body) crowd.Client {
	return crowd.Client{Send: crowd.SendRequest("POST /v1/chat/completions", crowdFields, b)}
}

func play(t *testing.T, count int, c crowd.Client) {
	t.Helper()
	start(t).scene.Play(t, count, c)
}

// Bodies of legal size.

func TestOpenAICrowdOfWholeBodies(t *testing.T) {
	play(t, clients, toPlain(crowd.Sized(maxBody, 0, maxBody)))
}

func TestOpenAICrowdOfBodiesInPieces(t *testing.T) {
	play(t, clients, toPlain(crowd.Sized(maxBody, 0, 4<<10)))
}

func TestOpenAICrowdThatStopsShort(t *testing.T) {
	play(t, clients, toPlain(crowd.Sized(maxBody, 1, maxBody)))
}

func TestOpenAICrowdThatStopsShortWithIdempotencyKey(t *testing.T) {
	play(t, clients, crowd.Client{Send: crowd.SendRequest(slowPath, crowdFields+"Idempotency-Key: key-%d\r\n", crowd.Sized(maxBody, 1, maxBody))})
}

func TestOpenAICrowdOfCompletions(t *testing.T) {
	play(t, clients, toEngine(crowd.Text(prompt(strings.Repeat("x", promptBytes)))))
}

func TestOpenAICrowdOfCompletionsThatStopShort(t *testing.T) {
	play(t, clients, toEngine(crowd.Sized(maxBody, 1, 4<<10)))
}

func TestOpenAICrowdOfEscapedPrompts(t *testing.T) {
	play(t, clients, toEngine(crowd.Text(`{"model":"chat-1","max_tokens":4,"prompt":"`+strings.Repeat(`\u0001`, promptBytes/6)+`"}`)))
}

func TestOpenAICrowdOfManyMessages(t *testing.T) {
	play(t, clients, toChat(crowd.Text(messages("{}", maxBody))))
}

func TestOpenAICrowdOfManyParts(t *testing.T) {
	parts := strings.Repeat("{},", promptBytes/3)
	play(t, clients, toEngine(crowd.Text(`{"model":"chat-1","max_tokens":4,"prompt":[`+parts+`{}]}`)))
}

// Bodies far over the limit.

func TestOpenAICrowdOfBodiesAnnouncedOverLimit(t *testing.T) {
	play(t, clients, toPlain(crowd.Sized(1<<30, 1<<30-endless, 64<<10)))
}

func TestOpenAICrowdOfBodiesSentOverLimit(t *testing.T) {
	play(t, clients, toPlain(crowd.Chunked(endless, largeChunk, "")))
}

func TestOpenAICrowdOfCompletionsSentOverLimit(t *testing.T) {
	play(t, clients, toEngine(crowd.Chunked(endless, largeChunk, "")))
}

// Chunked bodies.

func TestOpenAICrowdOfLargeChunks(t *testing.T) {
	play(t, clients, toPlain(crowd.Chunked(maxBody, largeChunk, "")))
}

func TestOpenAICrowdOfSmallChunks(t *testing.T) {
	play(t, clients, toPlain(crowd.Chunked(maxBody, smallChunk, "")))
}

func TestOpenAICrowdOfCompletionsInSmallChunks(t *testing.T) {
	play(t, clients, toEngine(crowd.Chunked(maxBody, smallChunk, "")))
}

func TestOpenAICrowdOfWholeChunkedBodies(t *testing.T) {
	play(t, clients, toPlain(crowd.Chunked(maxBody, largeChunk, crowd.LastChunk)))
}

func TestOpenAICrowdOfEndlessTrailers(t *testing.T) {
	play(t, clients, toPlain(crowd.EndlessTrailer(maxBody, headBytes)))
}

// Heads, connections and answers.

func TestOpenAICrowdOfEndlessHeads(t *testing.T) {
	play(t, manyClients, crowd.Client{Send: crowd.SendHead("POST /decisions/x", crowdFields, "X-Other: xxxxxxxxxxxxxxxxxxxxxxxx\r\n", headBytes)})
}

func TestOpenAICrowdOfManyShortFields(t *testing.T) {
	play(t, manyClients, crowd.Client{Send: crowd.SendHead("POST /decisions/x", crowdFields, "a:\r\n", headBytes)})
}

func TestOpenAICrowdOfSilentConnections(t *testing.T) {
	play(t, manyClients, crowd.Client{Send: crowd.SendNothing})
}

func TestOpenAICrowdThatPipelines(t *testing.T) {
	play(t, manyClients, toPlain(crowd.Text("body").Then(endless)))
}

func TestOpenAICrowdThatReadsNoAnswer(t *testing.T) {
	c := toPlain(crowd.Sized(maxBody, 0, maxBody))
	c.Unread = true
	play(t, clients, c)
}

// TestOpenAICrowdOfKeptAnswers makes many calls that may run once at most, whose answers are kept for duplicates of them.
func TestOpenAICrowdOfKeptAnswers(t *testing.T) {
	b := crowd.Sized(keptBytes, 0, keptBytes)
	play(t, clients, crowd.Client{Send: crowd.Repeat(keptAnswers, crowd.SendRequest("POST /decisions/x", crowdFields, b))})
}

// Single requests of the largest size, in calm.

func TestOpenAICrowdOfOneToPlain(t *testing.T) {
	s := start(t).scene
	for name, b := range map[string]crowd.Body{
		"whole":              crowd.Sized(maxBody, 0, maxBody),
		"pieces":             crowd.Sized(maxBody, 0, 4<<10),
		"large chunks":       crowd.Chunked(maxBody, largeChunk, crowd.LastChunk),
		"chunks of one byte": crowd.Chunked(maxBody, 1, crowd.LastChunk),
	} {
		if err := crowd.Ask(s.Address, crowd.Request{Line: "POST /decisions/x", Fields: fields, Body: b}); err != nil {
			t.Errorf("a single body of the largest size, %s: %v", name, err)
		}
	}
	s.Check(t)
}

func TestOpenAICrowdOfOneToEngines(t *testing.T) {
	s := start(t).scene
	for name, q := range map[string]crowd.Request{
		"one prompt":    {Line: "POST /v1/completions", Fields: fields, Body: crowd.Text(prompt(strings.Repeat("x", promptBytes)))},
		"many messages": {Line: "POST /v1/chat/completions", Fields: fields, Body: crowd.Text(messages("{}", maxBody))},
	} {
		if err := crowd.Ask(s.Address, q); err != nil {
			t.Errorf("a single body of the largest size, %s: %v", name, err)
		}
	}
	s.Check(t)
}
