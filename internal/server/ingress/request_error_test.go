package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// Every error of a request has a status and a detail, and its cause can be found by type.
func TestRequestErrors(t *testing.T) {
	plain := errors.New("plain")
	fault := &httpwire.MessageError{Status: 413, Reason: "too long"}
	for _, c := range []struct {
		err    error
		status int
		detail string
	}{
		{requestError(404, "no query type %.40q", "x"), 404, `no query type "x"`},
		{fmt.Errorf("read: %w", fault), 413, "too long"},
		{plain, 400, "plain"},
	} {
		bad := asRequestError(c.err)
		if bad.Status != c.status || bad.Detail != c.detail || bad.Error() != c.detail {
			t.Errorf("%v: %+v", c.err, bad)
		}
	}
	err := decodeBody(&query.Request{}, []byte(`{"tablets":`), testSettings(t))
	syntax, ok := errors.AsType[*json.SyntaxError](err)
	if !ok || !strings.HasSuffix(err.Error(), syntax.Error()) {
		t.Errorf("%v does not wrap the error of encoding/json", err)
	}
}
