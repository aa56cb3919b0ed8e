package cachedlist

import (
	"testing"
	"time"
)

// Whatever is drawn, a silent watch is noticed with time left for an answer that waits its turn, a hedge goes out before its request is
// given up, and a failed call is made again only where it may be, after a pause within its bounds.
func TestAskingIsInTime(t *testing.T) {
	for _, share := range []float64{0, 0.5, 0.999} {
		lot := Lot(func(below time.Duration) time.Duration { return time.Duration(share * float64(below)) })
		for _, most := range []time.Duration{time.Second, 4 * time.Second, time.Minute} {
			w := lot.Watch(most)
			if w.Wait <= 0 || w.Wait > min(most, LongestWait) || w.Hedge >= w.Limit || w.Hedge > ToldAfter-ToldAfterWait {
				t.Errorf("a watch of %v: %+v", most, w)
			}
		}
		if l := lot.Look(); l.Wait != 0 || l.Hedge >= l.Limit || 2*l.Hedge > CountsAfterMove {
			t.Errorf("a look: %+v", l)
		}
		for _, c := range []struct {
			f     Failure
			least time.Duration
			most  time.Duration
			again bool
		}{
			{Failure{Broke: true, Moved: time.Hour}, 0, pauseMost, true},
			{Failure{Agent: true, Moved: time.Hour}, AgentPause / 2, AgentPause, true},
			{Failure{Moved: time.Second}, pauseLeast, pauseLeast + pauseMost, true},
			{Failure{Moved: time.Second, Took: 2 * time.Second}, 0, pauseMost, true},
			{Failure{Moved: CountsAfterMove}, 0, 0, false},
		} {
			pause, again := lot.Again(c.f)
			if again != c.again || pause < c.least || pause > c.most {
				t.Errorf("%+v: %v after %v", c.f, again, pause)
			}
		}
	}
}
