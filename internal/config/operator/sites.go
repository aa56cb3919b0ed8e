package operator

// This file defines the settings of the gateway to other sites.

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Sites holds the settings of the gateway to other sites.
type Sites struct {
	Keys           string        `json:"keys" doc:"directory of this broker's certificate, its key and the authorities; empty: the gateway is off"`
	Listen         string        `json:"listen" doc:"ADDRESS:PORT at which brokers of other sites open links; empty: none"`
	AllowedSites   []string      `json:"allow" doc:"sites whose brokers may open links here"`
	Targets        []string      `json:"targets" doc:"brokers of other sites that links are opened to, each SITE=ADDRESS:PORT"`
	ForwardedShare float64       `json:"share" default:"0.1" min:"0" max:"1" doc:"forwarded queries, as a share of all queries of clients"`
	Burst          float64       `json:"burst" default:"50" min:"1" max:"100000" doc:"maximum number of forwarded queries saved up from that share"`
	MaxInFlight    int           `json:"most_abroad" default:"256" min:"1" max:"100000" doc:"maximum number of forwarded queries in flight"`
	MinTimeLeft    time.Duration `json:"least_left" default:"50ms" min:"1ms" max:"10s" doc:"a query with less time left is not forwarded"`
	AnswerMargin   time.Duration `json:"speak" default:"50ms" min:"10ms" max:"1s" doc:"part of a client's deadline kept for answering at this site"`
	ResumeWait     time.Duration `json:"resume" default:"300ms" min:"0s" max:"10s" doc:"how long a forwarded query whose link was lost waits for the link to return"`
	AcceptShare    float64       `json:"accept" default:"0.3" min:"0" max:"1" doc:"share of the places for queries that remote queries may take"`
	RememberLimit  int           `json:"remember" default:"4096" min:"1" max:"100000" doc:"maximum number of remote queries remembered, so that none runs twice"`
	MaxLinks       int           `json:"most_links" default:"32" min:"1" max:"1000" doc:"maximum number of links that other brokers may open"`
	Credit         int           `json:"credit" default:"128" min:"1" max:"10000" doc:"maximum number of queries that one broker of another site may have in flight here"`
}

// Target is one broker of another site.
type Target struct {
	Site string
	Addr netip.AddrPort
}

// ParsedTargets returns the targets, which Decode has checked.
func (s *Sites) ParsedTargets() (all []Target) {
	for _, t := range s.Targets {
		if target, err := target(t); err == nil {
			all = append(all, target)
		}
	}
	return all
}

// target parses SITE=ADDRESS:PORT.
func target(text string) (t Target, err error) {
	site, addr, ok := strings.Cut(text, "=")
	if t.Site = site; !ok || site == "" {
		return t, fmt.Errorf("%.80q is not SITE=ADDRESS:PORT", text)
	}
	if t.Addr, err = netip.ParseAddrPort(addr); err != nil {
		err = fmt.Errorf("%.80q is not SITE=ADDRESS:PORT", text)
	}
	return t, err
}

// GatewayEnabled reports whether the gateway to other sites is on.
func (f *File) GatewayEnabled() bool {
	return f.Sites.Keys != "" && (f.Sites.Listen != "" || len(f.Sites.Targets) > 0)
}
