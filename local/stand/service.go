package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cranberrypoint.example/coord/fake"
	"github.com/gorilla/mux"
)

// EarlyBody is the body of an answer that comes before the body of its request is read.
const EarlyBody = "early answer"

// Service is a plain service that counts each effect by request id. The query values
// delay and status of a call set how long it takes and what it answers.
type Service struct {
	mu      sync.Mutex
	effects map[string]int
	seen    []http.Header
	urls    []string
	// ending is how answers end; nil for the usual end.
	ending *fake.Ending
	// crash is called instead of an answer for requests with the body crashBody; nil for never.
	crash     func()
	crashBody string
}

// NewService returns a service without effects.
func NewService() *Service {
	return &Service{effects: map[string]int{}}
}

// Effects returns how often each request id had its effect.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string]int{}
	for k, v := range s.effects {
		c[k] = v
	}
	return c
}

// Seen returns the headers, trailers and URLs of all calls.
func (s *Service) Seen() ([]http.Header, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header{}, s.seen...), append([]string{}, s.urls...)
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/control/effects", func(w http.ResponseWriter, _ *http.Request) {
		for k, v := range s.Effects() {
			_, _ = fmt.Fprintln(w, k, v)
		}
	})
	m.PathPrefix("/").HandlerFunc(s.serve)
	return m
}

// SetEnding sets how the answers that begin from now on are framed and end. Such an answer has
// the request's body as its own, or EarlyBody if it doesn't read that, and the media type that the
// request accepts. Nil means the usual answers.
func (s *Service) SetEnding(e *fake.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = e
}

// SetCrash lets the service crash under requests with a body: it calls crash, which is to end the server, and gives
// no answer.
func (s *Service) SetCrash(body string, crash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashBody, s.crash = body, crash
}

// crashOn returns what crashes the service under a request with a body; nil if nothing does.
func (s *Service) crashOn(body string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if body != s.crashBody {
		return nil
	}
	return s.crash
}

func (s *Service) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.effects[id]++
	s.seen = append(s.seen, q.Header.Clone())
	s.urls = append(s.urls, q.URL.String())
	e := s.ending
	s.mu.Unlock()
	if d, err := time.ParseDuration(q.URL.Query().Get("delay")); err == nil {
		time.Sleep(d)
	}
	b, _ := e.ReadBody(q)
	if c := s.crashOn(string(b)); c != nil {
		c()
		panic(http.ErrAbortHandler)
	}
	if e != nil && e.Early {
		b = []byte(EarlyBody)
	}
	if e != nil {
		w.Header().Set("Content-Type", q.Header.Get("Accept"))
		_ = e.Write(w, string(b))
		return
	}
	w.Header().Set("X-Service", "plain")
	w.Header().Set("Trailer", "X-Count")
	if q.URL.Query().Get("status") != "" {
		var code int
		_, _ = fmt.Sscan(q.URL.Query().Get("status"), &code)
		w.WriteHeader(code)
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", q.Method, q.URL.Path)
	_, _ = w.Write(b)
	w.Header().Set("X-Count", fmt.Sprint(len(b)))
}
