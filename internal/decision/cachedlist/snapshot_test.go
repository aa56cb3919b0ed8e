package cachedlist

import (
	"encoding/json"
	"testing"
)

// The JSON names of the counts, which operators read, stay the same.
func TestCountsKeepTheirJSONNames(t *testing.T) {
	data, err := json.Marshal(Counts{1, 2, 3, 4, 5, 6, 7, 8, true})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Confirmed":1,"Doubtful":2,"StruckOut":3,"Barred":4,"Strikes":5,"Paroles":6,"Recovered":7,"ListAge":8,"OwnNetwork":true}`
	if string(data) != want {
		t.Errorf("%s, want %s", data, want)
	}
}
