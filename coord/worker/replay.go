package worker

import (
	"slices"

	"cranberrypoint.example/coord/trace"
)

// runBytes is the memory of an ended run besides its response.
const runBytes = 1 << 10

// replaySize returns the memory of an ended run that is kept for duplicates.
func (r *run) replaySize() int64 { return runBytes + r.endOffset - r.open.Base }

// keep counts the response of a run that has ended, and drops the responses of those that ended first while all are larger
// than the limit.
func (w *Worker) keep(r *run) {
	w.kept = append(w.kept, r)
	w.keptBytes += r.replaySize()
	for w.keptBytes > w.replayBytes && len(w.kept) > 0 {
		first := w.kept[0]
		w.trace(trace.Dropped, first, "")
		w.drop(first)
		if first.orphaned {
			w.removeRun(first)
		}
	}
}

// drop no longer counts a run, and no longer keeps its response for duplicates.
func (w *Worker) drop(r *run) {
	i := slices.Index(w.kept, r)
	if i < 0 {
		return
	}
	w.kept = slices.Delete(w.kept, i, i+1)
	w.keptBytes -= r.replaySize()
	r.keepUntil = w.now
}
