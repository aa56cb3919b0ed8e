package connpolicy

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"flaxfront/internal/config/form"
	"flaxfront/internal/config/remedy"
)

func example(t testing.TB) string {
	text, err := os.ReadFile("../../../deploy/connections.json5")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExample(t *testing.T) {
	p, err := Compile("connections.json5", example(t))
	if err != nil {
		t.Fatal(err)
	}
	small, plain := p.ClassOf(Node{Zone: "east", Machine: "m1-17"}), p.ClassOf(Node{Zone: "west", Machine: "m1-17"})
	if small.Budget != 160 || small.Floor != 1 || small.Shared.Units != 120 || small.Shared.Allowances[0].Guarantee != 30 {
		t.Errorf("small nodes: %+v", small)
	}
	if plain.Budget != 640 || plain.Shared.Units != 560 || plain.Shared.Allowances[2].Max != 280 || plain.Shared.Allowances[0].Weight != 3 {
		t.Errorf("other nodes: %+v", plain)
	}
	if p.Pool.Budget != 80000 || p.Pool.Shared.Allowances[0].Guarantee != 0 {
		t.Errorf("pool: %+v", p.Pool)
	}
}

// TestSameTextSamePolicy checks that compiling the same text twice gives the same policy.
func TestSameTextSamePolicy(t *testing.T) {
	describe := func() string {
		p, err := Compile("x", example(t))
		if err != nil {
			t.Fatal(err)
		}
		for i := range p.Classes {
			p.Classes[i].when = nil
		}
		return fmt.Sprintf("%+v %+v", p.Classes, *p.Pool)
	}
	if first := describe(); first != describe() {
		t.Error("the same text was compiled to two different policies")
	}
}

// TestRejectedPolicies makes one faulty change at a time to the example policy, and checks the error's type, message, line and remedy.
func TestRejectedPolicies(t *testing.T) {
	causeOf := func(err error) any { var e *form.Error; errors.As(err, &e); return e.Err }
	cases := []struct {
		from, to  string
		errorType any
		message   string
	}{
		{`"nodes": 200,`, `"nodes": 200, "node": 3,`, nil, "unknown"},
		{`"closing": "1s"`, `"closing": "3s"`, &ClosingTimeError{}, "closing"},
		{`"floor": "2"`, `"floor": "0"`, &IncompleteError{}, "could serve nothing"},
		{`"floor": "2"`, `"floor": "17"`, &OvercommittedError{}, "the floors of all brokers are 680 units of a budget of 640"},
		{`nodes * 400`, `nodes * 70`, &OvercommittedError{}, "at the maximum number of nodes"},
		{`nodes * 400`, `nodes * 100`, &OvercommittedError{}, "guarantees"},
		{`"shared / 4", "weight": "3"`, `"shared + 1", "weight": "3"`, &OvercommittedError{}, "guarantees"},
		{`"weight": "2", "most"`, `"guarantee": "shared * 4 / 5", "most"`, &OvercommittedError{}, "guarantees"},
		{`"weight": "2", "most": "shared * 3 / 4", "burst": "shared / 4"`, `"guarantee": "shared / 2", "most": "shared / 3"`, &StarvedTenantError{}, "less than the guarantee"},
		{`"weight": "2", "most"`, `"weight": "0", "most"`, &StarvedTenantError{}, "neither"},
		{`shared / 10`, `shared / 1000`, &StarvedTenantError{}, "most is 0"},
		{`"burst": "shared / 4"}`, `"burst": "shared"}`, &OvercommittedError{}, "most and burst"},
		{`shared / 10`, `need / 10`, &FeedbackError{}, "never settle"},
		{`"weight": "3"`, `"weight": "held > 3 ? 1 : 2"`, &FeedbackError{}, "held"},
		{`shared / 10`, `shared / 10.0`, &ExpressionError{}, "no matching overload"},
		{`shared / 10`, `shared / (brokers - 40)`, &ExpressionError{}, "division by zero"},
		{`brokers * 16`, `brokers * 9223372036854775807`, &ExpressionError{}, "overflow"},
		{`brokers * 16`, `brokers * -16`, &ExpressionError{}, "not in the range 0"},
		{`brokers * 16`, `budget * 16`, &ExpressionError{}, "not known here"},
		{`brokers * 16`, `size('x' + 'y')`, &ExpressionError{}, "undeclared"},
		{`brokers * 16`, `timestamp('2026-01-01T00:00:00Z').getHours('Europe/Oslo')`, &ExpressionError{}, "undeclared"},
		{`brokers * 16`, strings.Repeat("brokers + ", 60) + "1", &ExpressionError{}, "exceed"},
		{`"shared / 4", "weight": "3"`, `"shared / 4", "weight": "3", "when": "class"`, &ExpressionError{}, "type string"},
		{`node.zone == 'east'`, `node.load > 3`, &ExpressionError{}, "undeclared"},
		{`"name": "plain",`, `"name": "plain", "when": "node.zone == 'x'",`, &IncompleteError{}, "last class"},
		{`{"name": "harvest",`, `{"name": "harvest", "when": "class == 'small'",`, &IncompleteError{}, "without a condition"},
	}
	for _, c := range cases {
		text := strings.Replace(example(t), c.from, c.to, 1)
		line := 1 + strings.Count(text[:max(0, strings.Index(text, c.to))], "\n")
		_, err := Compile("x", text)
		var located *form.Error
		if err == nil || !errors.As(err, &located) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", c.to, err)
			continue
		}
		if located.Line != line {
			t.Errorf("%s: the error states line %d, want %d: %v", c.to, located.Line, line, err)
		}
		if c.errorType != nil && fmt.Sprintf("%T", causeOf(err)) != fmt.Sprintf("%T", c.errorType) || remedy.Of(err) == "" {
			t.Errorf("%s: error of type %T with remedy %q", c.to, causeOf(err), remedy.Of(err))
		}
	}
}

// FuzzCompile checks that no text makes Compile panic, and that no accepted policy divides more than a class's budget.
func FuzzCompile(f *testing.F) {
	f.Add(example(f))
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Compile("x", text)
		if err != nil {
			return
		}
		for _, k := range p.Classes {
			sum := k.Floor * p.Brokers
			for _, a := range k.Shared.Allowances {
				sum += a.Guarantee
			}
			if sum > k.Budget {
				t.Errorf("floors and guarantees of %d exceed the budget of %d", sum, k.Budget)
			}
		}
	})
}

func BenchmarkCompile(b *testing.B) {
	text := example(b)
	for b.Loop() {
		if _, err := Compile("x", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClassOf(b *testing.B) {
	p, err := Compile("x", example(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		p.ClassOf(Node{Zone: "east", Machine: "m1-17"})
	}
}
