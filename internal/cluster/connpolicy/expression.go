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

// The bounds of one expression. Every broker of the tier compiles a policy at the same moment.
const (
	maxExpressionBytes = 4096
	maxTreeNodes       = 100
	maxTreeDepth       = 12
	maxCost            = 1000 // steps, as CEL estimates and counts them: about one for each operator
	maxAmount          = 1 << 24
	maxNameBytes       = 255 // of a node's attribute, for the estimate of cost
)

// feedbackVariables are what the division itself changes. An amount that followed from them would change what is divided next, and so
// on without end. They are declared, so that such an expression is told apart from a misspelt name.
var feedbackVariables = []string{"need", "held", "granted", "used", "free", "open", "waiting", "load", "demand"}

// allowedFunctions are the operators of an expression: no macro that could loop, no function that asks for the time, a time zone or a
// regular expression.
var allowedFunctions = []string{
	operators.Conditional, operators.LogicalAnd, operators.LogicalOr, operators.LogicalNot,
	operators.Equals, operators.NotEquals, operators.Less, operators.LessEquals, operators.Greater, operators.GreaterEquals,
	operators.Add, operators.Subtract, operators.Multiply, operators.Divide, operators.Modulo, operators.Negate,
	operators.In, "startsWith", "endsWith",
}

// expression is a checked expression.
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
	amount *environment // of amounts, and of conditions on classes
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

// declare makes an environment of names of one type.
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

// compile checks an expression of the wanted type that uses allowed names only.
func (e *environment) compile(text string, want *cel.Type, allowed ...string) (*expression, error) {
	ast, issues := e.env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &ExpressionError{text, first.Location.Column() + 1, first.Message}
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, &ExpressionError{text, 0, fmt.Sprintf("is of type %s, %s is wanted", ast.OutputType(), want)}
	}
	if err := checkNames(text, ast, allowed); err != nil {
		return nil, err
	}
	estimate, err := e.env.EstimateCost(ast, sizeEstimator{})
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
	return &expression{text: text, program: program}, nil
}

// checkNames reports the first name, in alphabetical order, that is not allowed: the same error on every broker.
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
	return &ExpressionError{text, 0, fmt.Sprintf("%s is not known here, only %v", first, allowed)}
}

// sizeEstimator bounds the length of names, which CEL's estimate would take for unlimited.
type sizeEstimator struct{}

// EstimateSize implements the estimator of CEL.
func (sizeEstimator) EstimateSize(element cost.AstNode) *cost.SizeEstimate {
	if len(element.Path()) > 0 {
		return &cost.SizeEstimate{Min: 0, Max: maxNameBytes}
	}
	return nil
}

// EstimateCallCost implements the estimator of CEL: calls cost what CEL says.
func (sizeEstimator) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// evaluateCondition evaluates a condition; a nil expression holds.
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

// evaluateNumber evaluates an amount, from 0 to maxAmount.
func (x *expression) evaluateNumber(variables map[string]any) (int, error) {
	value, _, err := x.program.Eval(variables)
	if err != nil {
		return 0, &ExpressionError{x.text, 0, err.Error()}
	}
	n, ok := value.Value().(int64)
	if !ok || n < 0 || n > maxAmount {
		return 0, &ExpressionError{x.text, 0, fmt.Sprintf("is %v, which is not from 0 to %d", value.Value(), maxAmount)}
	}
	return int(n), nil
}
