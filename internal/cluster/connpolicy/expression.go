package connpolicy

import (
	"fmt"
	"slices"
	"sync"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/env"
	"cel.dev/cel-go/common/operators"
)

// The bounds of one expression. They keep compilation cheap, as all brokers of the tier compile a policy at the same moment.
const (
	maxExpressionBytes = 4096
	maxTreeNodes       = 100
	maxTreeDepth       = 12
	maxCost            = 1000 // steps, as CEL estimates and counts them: about one for each operator
	maxAmount          = 1 << 24
	maxNameBytes       = 255 // of a node's attribute, for the cost estimate
)

// feedbackVariables are quantities that the division itself changes. An amount that depended on one would change the next division, and so
// on without end. They are declared so that their use is reported as such, not as a misspelt name.
var feedbackVariables = []string{"need", "held", "granted", "used", "free", "open", "waiting", "load", "demand"}

// allowedFunctions are the operators and functions of expressions. Macros, which can loop, are excluded, as are functions of time, time
// zones and regular expressions.
var allowedFunctions = []string{
	operators.Conditional, operators.LogicalAnd, operators.LogicalOr, operators.LogicalNot,
	operators.Equals, operators.NotEquals, operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals,
	operators.Add, operators.Subtract, operators.Multiply, operators.Divide, operators.Modulo, operators.Negate,
	operators.In, "startsWith", "endsWith",
}

// expression is a compiled and checked expression.
type expression struct {
	text    string
	program cel.Program
}

// environment is a set of typed names that expressions may use.
type environment struct {
	env   *cel.Env
	names []string
}

type environments struct {
	node   *environment // of conditions on nodes
	amount *environment // of amounts, and of tenants' conditions on the class
}

var declareEnvironments = sync.OnceValues(func() (environments, error) {
	node, err := declare(cel.StringType, "node.name", "node.zone", "node.cell", "node.machine")
	if err != nil {
		return environments{}, err
	}
	amount, err := declare(cel.IntType, "brokers", "nodes", "budget", "floor", "shared")
	if err != nil {
		return environments{}, err
	}
	amount.env, err = amount.env.Extend(cel.Variable("class", cel.StringType))
	amount.names = append(amount.names, "class")
	return environments{node: node, amount: amount}, err
})

// declare returns an environment with names of one type, besides the feedback variables.
func declare(nameType *cel.Type, names ...string) (*environment, error) {
	subset := &env.LibrarySubset{DisableMacros: true}
	for _, function := range allowedFunctions {
		subset.IncludeFunctions = append(subset.IncludeFunctions, env.NewFunction(function))
	}
	options := []cel.EnvOption{
		cel.StdLib(cel.StdLibSubset(subset)),
		cel.ClearMacros(),
		cel.ParserExpressionSizeLimit(maxExpressionBytes),
		cel.ExpressionNodeLimit(maxTreeNodes),
		cel.ExpressionNestingDepthLimit(maxTreeDepth),
	}
	for _, name := range feedbackVariables {
		options = append(options, cel.Variable(name, cel.IntType))
	}
	for _, name := range names {
		options = append(options, cel.Variable(name, nameType))
	}
	celEnv, err := cel.NewCustomEnv(options...)
	return &environment{env: celEnv, names: names}, err
}

// compile compiles an expression. It must have the wanted type, use allowed names only, and stay within the bounds.
func (e *environment) compile(text string, want *cel.Type, allowed ...string) (*expression, error) {
	ast, issues := e.env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &ExpressionError{text, first.Location.Column() + 1, first.Message}
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, &ExpressionError{text, 0, fmt.Sprintf("is of type %s, want %s", ast.OutputType(), want)}
	}
	if err := checkNames(text, ast, allowed); err != nil {
		return nil, err
	}
	estimate, err := e.env.EstimateCost(ast, sizeEstimator{})
	if err != nil {
		return nil, &ExpressionError{text, 0, err.Error()}
	}
	if estimate.Max > maxCost {
		return nil, &ExpressionError{text, 0, fmt.Sprintf("can cost %d steps, at most %d are allowed", estimate.Max, maxCost)}
	}
	program, err := e.env.Program(ast, cel.CostLimit(maxCost))
	if err != nil {
		return nil, &ExpressionError{text, 0, err.Error()}
	}
	return &expression{text: text, program: program}, nil
}

// checkNames returns an error for the alphabetically first name that is not allowed, so that every broker reports the same one.
func checkNames(text string, ast *cel.Ast, allowed []string) error {
	var names []string
	for _, ref := range ast.NativeRep().ReferenceMap() {
		if ref.Name != "" && !slices.Contains(allowed, ref.Name) {
			names = append(names, ref.Name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	first := slices.Min(names)
	if slices.Contains(feedbackVariables, first) {
		return &FeedbackError{text, first}
	}
	return &ExpressionError{text, 0, fmt.Sprintf("%s is not known here, only %v are", first, allowed)}
}

// sizeEstimator bounds the length of string variables, which CEL would estimate as unlimited.
type sizeEstimator struct{}

// EstimateSize implements CEL's cost estimator.
func (sizeEstimator) EstimateSize(element cost.AstNode) *cost.SizeEstimate {
	if len(element.Path()) > 0 {
		return &cost.SizeEstimate{Min: 0, Max: maxNameBytes}
	}
	return nil
}

// EstimateCallCost implements CEL's cost estimator. It returns nil, which selects CEL's own estimate.
func (sizeEstimator) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// evaluateCondition reports whether a condition holds. A nil expression always holds.
func (x *expression) evaluateCondition(variables map[string]any) (bool, error) {
	if x == nil {
		return true, nil
	}
	value, _, err := x.program.Eval(variables)
	if err != nil {
		return false, &ExpressionError{x.text, 0, err.Error()}
	}
	holds, ok := value.Value().(bool)
	return holds && ok, nil
}

// evaluateNumber evaluates an amount. A value outside 0 to maxAmount is an error.
func (x *expression) evaluateNumber(variables map[string]any) (int, error) {
	value, _, err := x.program.Eval(variables)
	if err != nil {
		return 0, &ExpressionError{x.text, 0, err.Error()}
	}
	n, ok := value.Value().(int64)
	if !ok || n < 0 || n > maxAmount {
		return 0, &ExpressionError{x.text, 0, fmt.Sprintf("is %v, which is not in the range 0 to %d", value.Value(), maxAmount)}
	}
	return int(n), nil
}
