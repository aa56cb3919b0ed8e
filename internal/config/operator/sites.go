package operator

// This file owns the settings of the gateway to other sites.

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Sites holds the settings of the gateway to other sites.
type Sites struct {
	Keys           string        `json:"keys" doc:"directory of this broker's certificate, its key and the authorities; empty: off, with all of sites"`
	Listen         string        `json:"listen" doc:"where brokers of other sites open links, ADDRESS:PORT; empty: nowhere"`
	AllowedSites   []string      `json:"allow" doc:"sites whose brokers may open links here"`
	Targets        []string      `json:"targets" doc:"brokers of other sites that links are opened to, each SITE=ADDRESS:PORT"`
	ForwardedShare float64       `json:"share" default:"0.1" min:"0" max:"1" doc:"searches forwarded, as a share of those taken"`
	Burst          float64       `json:"burst" default:"50" min:"1" max:"100000" doc:"forwards saved up at most"`
	MaxInFlight    int           `json:"most_abroad" default:"256" min:"1" max:"100000" doc:"forwarded searches in hand at most"`
	MinTimeLeft    time.Duration `json:"least_left" default:"50ms" min:"1ms" max:"10s" doc:"a search with less time left is not forwarded"`
	AnswerMargin   time.Duration `json:"speak" default:"50ms" min:"10ms" max:"1s" doc:"kept of a client's time for this side's own answer"`
	ResumeWait     time.Duration `json:"resume" default:"300ms" min:"0s" max:"10s" doc:"how long a search whose link ended waits for it to come back"`
	AcceptShare    float64       `json:"accept" default:"0.3" min:"0" max:"1" doc:"places that searches of other sites may take, as a share of all"`
	RememberLimit  int           `json:"remember" default:"4096" min:"1" max:"100000" doc:"searches of other sites remembered at once, so that none runs twice"`
	MaxLinks       int           `json:"most_links" default:"32" min:"1" max:"1000" doc:"links that other brokers may have open here"`
	Credit         int           `json:"credit" default:"128" min:"1" max:"10000" doc:"searches that one broker of another site may have out here"`
}

// Target is one broker of another site.
type Target struct {
	Site string
	Addr netip.AddrPort
}

// ParsedTargets reads the targets, which Decode has checked.
func (s *Sites) ParsedTargets() (all []Target) {
	for _, t := range s.Targets {
		if target, err := target(t); err == nil {
			all = append(all, target)
		}
	}
	return all
}

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

// GatewayEnabled tells whether there is a gateway to other sites.
func (f *File) GatewayEnabled() bool {
	return f.Sites.Keys != "" && (f.Sites.Listen != "" || len(f.Sites.Targets) > 0)
}
