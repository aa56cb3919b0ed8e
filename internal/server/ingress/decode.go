package ingress

import (
	"hash/fnv"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// maxTimeout is the longest timeout that a query may ask for; a longer one is assumed to be a mistake and rejected.
const maxTimeout = time.Hour

// decodeQuery decodes the query of a request. Its errors are of type *RequestError.
func decodeQuery(m *httpwire.Message, settings *terms.Terms) (*query.Request, error) {
	q := &query.Request{Settings: settings}
	if err := decodeHeaders(q, m, settings); err != nil {
		return nil, err
	}
	if err := decodeBody(q, m.Body, settings); err != nil {
		return nil, err
	}
	return q, nil
}

func decodeHeaders(q *query.Request, m *httpwire.Message, settings *terms.Terms) error {
	name, _, _ := strings.Cut(strings.TrimPrefix(m.Path, "/"), "/")
	q.Type = slices.Index(settings.Types, name)
	if q.Type < 0 {
		return requestError(statusNotFound, "no query type %.40q", name)
	}
	if m.Method != "POST" {
		return requestError(statusMethodNotAllowed, "method %.20q", m.Method)
	}
	id, count := m.Get("x-request-id")
	if count != 1 || !query.ValidID(id) {
		return requestError(statusBadRequest, "X-Request-ID %.80q", id)
	}
	q.ID = id
	if err := decodeTenant(q, m, settings); err != nil {
		return err
	}
	if err := decodeTimeout(q, m, settings); err != nil {
		return err
	}
	if cookie, count := m.Get("cookie"); count == 1 {
		q.Client = clientKey(cookie)
	}
	retried, _ := m.Get("x-retried")
	q.Retry = retried == "1"
	return nil
}

func decodeTenant(q *query.Request, m *httpwire.Message, settings *terms.Terms) error {
	if len(settings.Tenants) == 0 {
		return nil
	}
	tenant, count := m.Get("x-tenant-id")
	q.Tenant = slices.Index(settings.Tenants, tenant)
	if q.Tenant < 0 || count != 1 {
		return requestError(statusBadRequest, "X-Tenant-Id %.40q", tenant)
	}
	return nil
}

func decodeTimeout(q *query.Request, m *httpwire.Message, settings *terms.Terms) error {
	limit, count := m.Get("x-timeout-ms")
	ms, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || count != 1 || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return requestError(statusBadRequest, "X-Timeout-Ms %.40q", limit)
	}
	q.Timeout = min(time.Duration(ms)*time.Millisecond, settings.Module.QueryTypes[q.Type].Timeout)
	return nil
}

// clientKey returns a hash of the cookie's value "user", or 0 if there is none.
func clientKey(cookie string) uint64 {
	for field := range strings.SplitSeq(cookie, ";") {
		if name, value, _ := strings.Cut(strings.TrimSpace(field), "="); name == "user" && value != "" {
			h := fnv.New64a()
			io.WriteString(h, value)
			return max(1, h.Sum64())
		}
	}
	return 0
}
