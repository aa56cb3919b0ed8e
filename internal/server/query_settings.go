package server

import (
	"slices"

	"flaxfront/internal/server/query"
)

// adaptToSettings translates a query that was read under other settings to those in force, and reports whether they can serve it.
func (l *loop) adaptToSettings(r *query.Request) bool {
	if r.Settings == nil || r.Settings == l.settings {
		return true
	}
	previous, current := r.Settings, l.settings
	r.Type = slices.Index(current.Types, previous.Types[r.Type])
	if r.Type < 0 || current.Fingerprint() != previous.Fingerprint() {
		return false
	}
	switch {
	case len(current.Tenants) == 0:
		r.Tenant = 0
	case len(previous.Tenants) > 0:
		r.Tenant = slices.Index(current.Tenants, previous.Tenants[r.Tenant])
	default:
		r.Tenant = -1
	}
	r.Settings = current
	return r.Tenant >= 0
}
