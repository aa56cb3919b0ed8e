package connpolicy

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/env"
	"cel.dev/cel-go/common/operators"
)

// Bounds of one expression. Danger: a policy is compiled by every broker of the tier in one moment.
const (
	maxNodes = 100 // of its tree
	maxDepth = 12
	maxCost  = 1000 // as CEL estimates and counts it: about one for each operator
	maxUnits = 1 << 24
)

// moved are names of what the division itself moves. Danger: an amount that follows from what was shared out changes what is
// shared out next, and so on without end.
var moved = []string{"need", "held", "granted", "used", "free", "open", "waiting", "load", "demand"}

// expression is one that was checked.
type expression struct {
	text    string
	program cel.Program
}

// environment is a set of names with types; there is one for nodes and one for amounts.
type environment struct {
	env   *cel.Env
	names []string
}

var environments = sync.OnceValues(func() ([2]*environment, error) {
	node, err := declare(cel.StringType, "node.name", "node.zone", "node.cell", "node.machine")
	if err != nil {
		return [2]*environment{}, err
	}
	amount, err := declare(cel.IntType, "brokers", "nodes", "budget", "floor", "shared")
	if err != nil {
		return [2]*environment{}, err
	}
	amount.env, err = amount.env.Extend(cel.Variable("class", cel.StringType))
	amount.names = append(amount.names, "class")
	return [2]*environment{node, amount}, err
})

// declare makes an environment of the operators alone: no macro that could loop, no function, and so none that asks for the
// time, a time zone or a regular expression.
func declare(of *cel.Type, names ...string) (*environment, error) {
	subset := &env.LibrarySubset{DisableMacros: true}
	for _, f := range []string{operators.Conditional, operators.LogicalAnd, operators.LogicalOr, operators.LogicalNot, operators.Equals,
		operators.NotEquals, operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals, operators.Add,
		operators.Subtract, operators.Multiply, operators.Divide, operators.Modulo, operators.Negate, operators.In, "startsWith", "endsWith"} {
		subset.IncludeFunctions = append(subset.IncludeFunctions, env.NewFunction(f))
	}
	opts := []cel.EnvOption{cel.StdLib(cel.StdLibSubset(subset)), cel.ClearMacros(), cel.ParserExpressionSizeLimit(4096),
		cel.ExpressionNodeLimit(maxNodes), cel.ExpressionNestingDepthLimit(maxDepth)}
	for _, name := range append(slices.Clone(moved), names...) {
		kind := of
		if slices.Contains(moved, name) {
			kind = cel.IntType // so that it is told apart from a slip of the pen
		}
		opts = append(opts, cel.Variable(name, kind))
	}
	e, err := cel.NewCustomEnv(opts...)
	return &environment{e, names}, err
}

// compile checks an expression of the wanted type; only names of allowed may be in it.
func (e *environment) compile(text string, want *cel.Type, allowed ...string) (*expression, error) {
	ast, issues := e.env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &ExpressionError{text, first.Location.Column() + 1, first.Message}
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, &ExpressionError{text, 0, fmt.Sprintf("is of type %s, %s is wanted", ast.OutputType(), want)}
	}
	var names []string
	for _, ref := range ast.NativeRep().ReferenceMap() {
		if ref.Name != "" && !slices.Contains(allowed, ref.Name) {
			names = append(names, ref.Name)
		}
	}
	slices.Sort(names) // the same error everywhere
	switch {
	case len(names) == 0:
	case slices.Contains(moved, names[0]):
		return nil, &FeedbackError{text, names[0]}
	default:
		return nil, &ExpressionError{text, 0, fmt.Sprintf("%s is not known here, only %v", names[0], allowed)}
	}
	estimate, err := e.env.EstimateCost(ast, sizes{})
	if err != nil {
		return nil, &ExpressionError{text, 0, err.Error()}
	}
	if estimate.Max > maxCost {
		return nil, &ExpressionError{text, 0, fmt.Sprintf("could cost %d steps, %d at most", estimate.Max, maxCost)}
	}
	program, err := e.env.Program(ast, cel.CostLimit(maxCost))
	if err != nil {
		return nil, &ExpressionError{text, 0, err.Error()}
	}
	return &expression{text, program}, nil
}

// sizes bounds the length of names, which CEL's estimate takes for endless otherwise.
type sizes struct{}

func (sizes) EstimateSize(element cost.AstNode) *cost.SizeEstimate {
	if len(element.Path()) > 0 {
		return &cost.SizeEstimate{Min: 0, Max: 255}
	}
	return nil
}

func (sizes) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// truth evaluates a condition; nil holds.
func (x *expression) truth(vars map[string]any) (bool, error) {
	if x == nil {
		return true, nil
	}
	v, _, err := x.program.Eval(vars)
	if err != nil {
		return false, &ExpressionError{x.text, 0, err.Error()}
	}
	yes, ok := v.Value().(bool)
	return yes && ok, nil
}

// units evaluates an amount.
func (x *expression) units(vars map[string]any) (int, error) {
	v, _, err := x.program.Eval(vars)
	if err != nil {
		return 0, &ExpressionError{x.text, 0, err.Error()}
	}
	n, ok := v.Value().(int64)
	if !ok || n < 0 || n > min(maxUnits, math.MaxInt) {
		return 0, &ExpressionError{x.text, 0, fmt.Sprintf("is %v, which is not from 0 to %d", v.Value(), maxUnits)}
	}
	return int(n), nil
}
