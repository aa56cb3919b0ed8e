package operator

import "time"

// Z3950 holds the settings of the Z39.50 server.
type Z3950 struct {
	Listen        string        `json:"listen" doc:"ADDRESS:PORT; empty: off"`
	Type          string        `json:"type" doc:"query type of its queries; empty: the first"`
	Tenant        string        `json:"tenant" doc:"tenant of its clients; empty: the first"`
	Databases     []string      `json:"databases" doc:"databases that clients may search; empty: any"`
	Sessions      int           `json:"sessions" default:"64" min:"1" max:"10000" doc:"maximum number of sessions"`
	Idle          time.Duration `json:"idle" default:"5m" min:"1s" max:"24h" doc:"a session that is idle for this long is closed"`
	MaxResultSets int           `json:"sets" default:"10" min:"1" max:"1000" doc:"maximum number of result sets per session"`
	Bytes         int           `json:"bytes" default:"8388608" min:"65536" max:"1073741824" doc:"maximum size of the records kept for all sessions"`
	Age           time.Duration `json:"age" default:"5m" min:"1s" max:"24h" doc:"a result set that is not used for this long is dropped"`
	Depth         int           `json:"depth" default:"20" min:"1" max:"1000" doc:"records that a search fetches from each shard at once"`
}

// SRU holds the settings of the SRU server.
type SRU struct {
	Listen   string        `json:"listen" doc:"ADDRESS:PORT; empty: off"`
	Type     string        `json:"type" doc:"query type of its queries; empty: the first"`
	Tenant   string        `json:"tenant" doc:"tenant of its clients; empty: the first"`
	Database string        `json:"database" default:"catalogue" doc:"database name in paths and in the explain record"`
	Clients  int           `json:"clients" default:"64" min:"1" max:"10000" doc:"maximum number of connections"`
	Bytes    int           `json:"bytes" default:"8388608" min:"65536" max:"1073741824" doc:"maximum size of the records kept for later pages"`
	Age      time.Duration `json:"age" default:"1m" min:"1s" max:"24h" doc:"how long after a page the next one is served from the same result set"`
	Most     int           `json:"most" default:"100" min:"1" max:"1000" doc:"maximum number of records of a page"`
}

// StoreProtocol holds the settings for store nodes that are catalogue servers.
type StoreProtocol struct {
	Protocol string `json:"protocol" doc:"protocol of all store nodes, sru or z3950; empty: the platform's frames"`
	Database string `json:"database" default:"shard%d" doc:"database of a shard at its nodes; %d stands for the shard's number"`
}
