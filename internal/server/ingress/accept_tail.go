package ingress

import "time"

// QueueQuietPeriod is how long no connection must arrive after StopAccepting for the kernel's queue to count as empty.
const QueueQuietPeriod = 20 * time.Millisecond

// StopAccepting accepts the connections that wait in the kernel's queue, closes the listener and returns. Closing a listener resets the
// connections still in its queue, and the requests that their clients have sent are lost.
func (in *Ingress) StopAccepting() {
	if in.setQuietDeadline() {
		<-in.acceptEnded
	}
	in.listener.Close()
	<-in.acceptEnded
}

// setQuietDeadline sets the listener's deadline to the end of a quiet period. It reports false if the listener has no deadlines.
func (in *Ingress) setQuietDeadline() bool {
	l, ok := in.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(QueueQuietPeriod)) == nil
}

// acceptTail decides when the kernel's queue of connections counts as empty after StopAccepting. One deadline is not enough, as it may
// have passed before Accept looked into the queue.
type acceptTail struct {
	maxDuration time.Duration
	startedAt   time.Time // when the first deadline passed
	quiet       bool      // a deadline has passed, and Accept has returned nothing since
}

// accepted records that Accept returned a connection or an error other than a passed deadline.
func (t *acceptTail) accepted() { t.quiet = false }

// deadlinePassed records that a deadline passed, and reports whether accepting ends with it.
func (t *acceptTail) deadlinePassed() bool {
	if t.startedAt.IsZero() {
		t.startedAt = time.Now()
	}
	last := t.quiet || time.Since(t.startedAt) > t.maxDuration
	t.quiet = true
	return last
}
