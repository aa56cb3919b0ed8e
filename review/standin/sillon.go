package standin

// SillonNodes is the number of nodes of the small twin of sillon-casa.
const SillonNodes = 12

// Sillon returns the settings of the small twin of sillon-casa. The second step of path-lookup is left out, for which the protocol on sockets has
// no form.
func Sillon(brokers, me int) map[string]any {
	ms := func(n int64) int64 { return n * 1_000_000 }
	class := func(name string, aim, deadline int64, credit float64, effect string) map[string]any {
		return map[string]any{"name": name, "aimNs": ms(aim), "deadlineNs": ms(deadline), "credit": credit, "lateShare": 0.1, "effect": effect,
			"group": "all", "streaming": false, "windowNs": 0}
	}
	s := Nairobi(brokers, me)
	s["azs"] = []string{"casa-ain-sebaa", "rabat-technopolis", "kenitra-north"}
	s["tiers"] = []string{"capacity-leaves"}
	s["hostTypes"] = []string{"std-2c"}
	s["overShareWorth"] = 0.1
	s["registryMode"] = "push"
	s["classes"] = []any{class("path-lookup", 1500, 5000, 1, "read_like"), class("slot-hold", 1200, 2500, 1, "non_idempotent"),
		class("network-board", 1500, 5000, 3, "read_like")}
	s["domain"] = map[string]any{"cells": SillonNodes, "classFloor": []float64{1, 1, 0.8}, "fetchParts": []int{0, 0, 0}, "partsACall": 1,
		"perCallWorkNs": 0, "shortWorth": []float64{1, 1, 0.8}, "slices": 2 * SillonNodes, "warmKeys": false, "wholeAt": []float64{1, 1, 1}, "width": 3}
	s["permissions"] = map[string]any{"cancel": true, "connIdleNs": ms(15000), "connectTimeoutNs": ms(250), "cpuUsPerRequest": 0, "cpuUsPerS": 400000,
		"maxAttempts": 4, "maxOpen": 200, "maxRetryAfterNs": ms(1000), "multiplex": 100, "peers": false, "probes": true, "retryAfter": true,
		"secondCopies": true}
	s["realms"] = []any{
		map[string]any{"name": "shipper-a", "portion": 0.43, "quotaPerS": 15.0}, map[string]any{"name": "shipper-b", "portion": 0.27, "quotaPerS": 9.0},
		map[string]any{"name": "shipper-c", "portion": 0.2, "quotaPerS": 7.0}, map[string]any{"name": "shipper-d", "portion": 0.1, "quotaPerS": 4.0},
	}
	s["safety"] = map[string]any{"answerSlackNs": ms(20), "askWithinNs": ms(10000), "coldFrom": 0.21, "drainGraceNs": ms(1000), "fallNs": ms(3000),
		"tipMultiple": 2.5, "warmAfterNs": ms(16000), "extraFloor": 20, "furtherRatio": 0.1, "lookBackNs": ms(2000)}
	return s
}
