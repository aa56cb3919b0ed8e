package server

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/admission"
)

// weightSumTolerance is the largest difference from 1 that the sum of tenants' weights may have.
const weightSumTolerance = 0.001

// newAdmissionControl returns admission as the operators' file and the settings configure it. Its error is an InvalidWeightsError.
func newAdmissionControl(o *operator.Admission, t *terms.Terms) (*admissionControl, error) {
	p := admission.Policy{
		MaxWaitShare:  o.WaitShare,
		MaxQueued:     o.MaxWaiting,
		MinWork:       float64(o.MinInFlight),
		RetryShare:    o.RetryFraction,
		MaxRetryAfter: t.Module.MaxRetryAfter,
		Seed:          t.Module.Seed,
	}
	tenants := t.Tenants
	for i := range t.Module.Tenants {
		p.Weights = append(p.Weights, t.Module.Tenants[i].TrafficShare)
	}
	if len(tenants) == 0 {
		tenants = []string{"all"}
		p.Weights = []float64{1}
	}
	if len(o.Weights) > 0 {
		if err := parseWeights(p.Weights, tenants, o.Weights); err != nil {
			return nil, err
		}
	}
	return &admissionControl{Controller: admission.NewController(p), waiting: map[uint64]*activeQuery{}, tenants: tenants}, nil
}

// InvalidWeightsError reports weights in the operators' file that do not match the tenants of the settings.
type InvalidWeightsError struct{ Reason string }

func (e *InvalidWeightsError) Error() string {
	return "operators' file: door.weights: " + e.Reason
}

// Remedy returns what an operator can do about the error.
func (e *InvalidWeightsError) Remedy() string {
	return "name each tenant of the settings once in door.weights, as NAME=WEIGHT, so that the weights add up to 1; or leave it empty"
}

// parseWeights parses TENANT=WEIGHT texts into weights, in the order of tenants. The texts must name each tenant once, and the weights add up
// to 1. Its error is an InvalidWeightsError.
func parseWeights(weights []float64, tenants, texts []string) error {
	sum := 0.0
	named := map[string]bool{}
	for _, text := range texts {
		name, value, _ := strings.Cut(text, "=")
		tenant := slices.Index(tenants, name)
		weight, err := strconv.ParseFloat(value, 64)
		if tenant < 0 || named[name] || err != nil || !(weight >= 0 && weight <= 1) {
			return &InvalidWeightsError{fmt.Sprintf("%.60q: want TENANT=WEIGHT with a tenant of the settings, named once, and a weight from 0 to 1", text)}
		}
		named[name] = true
		weights[tenant] = weight
		sum += weight
	}
	if len(named) != len(tenants) || math.Abs(sum-1) > weightSumTolerance {
		return &InvalidWeightsError{fmt.Sprintf("%d of %d tenants are named, and their weights add up to %v instead of 1", len(named), len(tenants), sum)}
	}
	return nil
}
