package ingress

import "time"

// QueueQuietPeriod is how long no connection must come after StopAccepting before the kernel's queue counts as empty.
const QueueQuietPeriod = 20 * time.Millisecond

// StopAccepting accepts the connections that wait in the kernel, closes the listener and returns. Those still waiting when a listener
// closes are reset, with the requests that their clients have sent.
func (in *Ingress) StopAccepting() {
	if in.setQuietDeadline() {
		<-in.acceptEnded
	}
	in.listener.Close()
	<-in.acceptEnded
}

// setQuietDeadline sets the listener's deadline to the end of a quiet period; false: the listener has no deadlines.
func (in *Ingress) setQuietDeadline() bool {
	l, ok := in.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(QueueQuietPeriod)) == nil
}

// acceptTail tells when the kernel's queue of connections is empty. One deadline is not enough, as it may have passed before the kernel
// was asked.
type acceptTail struct {
	maxDuration time.Duration
	startedAt   time.Time // the first deadline
	quiet       bool      // a deadline has passed with nothing accepted since
}

// accepted notes that something other than a deadline came of accepting.
func (t *acceptTail) accepted() { t.quiet = false }

// deadlinePassed notes a deadline, and tells whether it was the last.
func (t *acceptTail) deadlinePassed() bool {
	if t.startedAt.IsZero() {
		t.startedAt = time.Now()
	}
	last := t.quiet || time.Since(t.startedAt) > t.maxDuration
	t.quiet = true
	return last
}
