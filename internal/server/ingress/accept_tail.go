package ingress

import "time"

// QueueQuietPeriod is how long no connection must come after StopAccepting before the kernel's queue counts as empty.
const QueueQuietPeriod = 20 * time.Millisecond

// StopAccepting accepts the connections that wait in the kernel, closes the listener and returns. Those still waiting when a listener
// closes are reset, with the requests that their clients have sent.
func (in *Ingress) StopAccepting() {
	if in.acceptBriefly() {
		<-in.acceptEnded
	}
	in.listener.Close()
	<-in.acceptEnded
}

// acceptBriefly sets the listener's deadline to the end of a quiet period; false: the listener has no deadlines.
func (in *Ingress) acceptBriefly() bool {
	l, ok := in.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(QueueQuietPeriod)) == nil
}

// acceptTail tells when the kernel's queue of connections is empty. One deadline is not enough, as it may have passed before the kernel
// was asked.
type acceptTail struct {
	longest time.Duration
	begun   time.Time // the first deadline
	quiet   bool      // a deadline has passed with nothing accepted since
}

// accepted notes that something other than a deadline came of accepting.
func (t *acceptTail) accepted() { t.quiet = false }

// ended notes a deadline, and tells whether it was the last.
func (t *acceptTail) ended() bool {
	if t.begun.IsZero() {
		t.begun = time.Now()
	}
	last := t.quiet || time.Since(t.begun) > t.longest
	t.quiet = true
	return last
}
