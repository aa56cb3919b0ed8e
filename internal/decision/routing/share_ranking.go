package routing

import "slices"

// shareRanking holds the failure shares of the listed nodes in ascending order.
type shareRanking []float64

func (s *shareRanking) insert(share float64) {
	at, _ := slices.BinarySearch(*s, share)
	*s = slices.Insert(*s, at, share)
}

func (s *shareRanking) remove(share float64) {
	at, _ := slices.BinarySearch(*s, share)
	*s = slices.Delete(*s, at, at+1)
}

// median returns the upper median, or 0 if the ranking is empty.
func (s shareRanking) median() float64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)/2]
}
