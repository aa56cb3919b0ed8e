package sru

import "testing"

// Guards against a node's response that lacks its count or a record's data, or has one twice, counting as an answer of nothing or of an
// empty record.
func TestIncompleteResponseIsAnError(t *testing.T) {
	const data = "<recordData><r/></recordData>"
	for name, c := range map[string]struct {
		counts, data string
		valid        bool
	}{
		"complete":            {"<numberOfRecords>1</numberOfRecords>", data, true},
		"no count":            {"", data, false},
		"two counts":          {"<numberOfRecords>1</numberOfRecords><numberOfRecords>0</numberOfRecords>", data, false},
		"a negative count":    {"<numberOfRecords>-1</numberOfRecords>", data, false},
		"a record of no data": {"<numberOfRecords>1</numberOfRecords>", "", false},
		"data twice":          {"<numberOfRecords>1</numberOfRecords>", data + data, false},
	} {
		_, err := ParseResponse([]byte("<searchRetrieveResponse>" + c.counts + "<records><record>" + c.data + "</record></records></searchRetrieveResponse>"))
		if (err == nil) != c.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}
