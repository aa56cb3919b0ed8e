package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Nairobi returns the settings of nairobi-main at its first size, in the form that the wire page shows. A case changes what it says it does.
func Nairobi(brokers, me int) map[string]any {
	ms := func(n int64) int64 { return n * 1_000_000 }
	return map[string]any{
		"azs": []string{"westlands", "mombasa-rd"}, "balancers": brokers, "me": me, "zone": 0, "tier": 0, "tiers": []string{"index-fleet"},
		"charges": map[string]any{"crossZone": 0.04, "waste": 0.08, "probe": 0, "peer": 0.008, "lateFail": 0.029, "handshake": 0.02, "connection": 0.02},
		"classes": []any{
			map[string]any{"name": "audit-report", "aimNs": ms(2500), "deadlineNs": ms(5000), "credit": 2.0, "lateShare": 0.0, "effect": "read_like",
				"group": "all", "streaming": false, "windowNs": ms(5000)},
			map[string]any{"name": "doc-find", "aimNs": ms(2000), "deadlineNs": ms(4000), "credit": 1.0, "lateShare": 0.1, "effect": "read_like",
				"group": "all", "streaming": false, "windowNs": ms(5000)},
		},
		"clients": map[string]any{"marksRetry": true}, "countedBy": "request",
		"domain": map[string]any{"cells": 3, "classFloor": []float64{0.5, 1}, "fetchParts": []int{0, 0}, "partsACall": 8, "perCallWorkNs": ms(49),
			"shortWorth": []float64{0.9, 0.9}, "slices": 9, "warmKeys": false, "wholeAt": []float64{1, 1}, "width": 1},
		"hostTypes": []string{"small-2c"}, "overShareWorth": 0.05,
		"permissions": map[string]any{"cancel": true, "connIdleNs": ms(30000), "connectTimeoutNs": ms(250), "cpuUsPerRequest": 0, "cpuUsPerS": 600000,
			"maxAttempts": 4, "maxOpen": 282, "maxRetryAfterNs": ms(2000), "multiplex": 32, "peers": true, "probes": false, "retryAfter": true,
			"secondCopies": true},
		"realms": []any{
			map[string]any{"name": "tuko-sacco", "portion": 0.51, "quotaPerS": 15.0},
			map[string]any{"name": "pwani-law", "portion": 0.28, "quotaPerS": 8.0},
			map[string]any{"name": "kilele-hr", "portion": 0.21, "quotaPerS": 6.0},
		},
		"registryMode": "ask", "report": map[string]any{"how": "silent", "names": []string{}},
		"safety": map[string]any{"answerSlackNs": ms(20), "askWithinNs": ms(10000), "coldFrom": 0.29, "drainGraceNs": ms(500), "fallNs": ms(2000),
			"tipMultiple": 2.0, "warmAfterNs": ms(16000)},
		"scoringMix": map[string]any{"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.3, "worstWindow": 0.15},
		"stepNs":     ms(5), "weights": "rough", "workload": "fanout",
	}
}

// Config returns the configuration of one broker.
func Config(name, listen, discovery string, peers []string, me int, known, settings map[string]any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": peers[me], "peers": peers, "peers_all": peers[me], "known": known, "settings": settings,
	}
}

// FreeTCP returns a loopback address with a TCP port that is free now.
func FreeTCP() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// FreeUDP returns a loopback address with a UDP port that is free now.
func FreeUDP() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}
