// Package policy compiles and evaluates the programs by which operators set the shares of the
// fleet and the priorities of client accounts.
//
// A program is one CEL expression that evaluates to a map. It can only read the variables account,
// weight, rate, labels, class and rank. It has no access to a clock or to randomness, and a cost
// limit bounds its steps and memory.
package policy

import (
	"math"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/types"
	"github.com/google/cel-go/common/types/ref"
	"github.com/google/cel-go/common/types/traits"
	"github.com/rotisserie/eris"
)

// Limits of a program.
const (
	// MaxCost is the limit of one evaluation in CEL cost units: about one unit for each step and
	// for each ten bytes allocated.
	MaxCost = 10_000
	// MaxProgramSize is the maximum size of a program's text in bytes.
	MaxProgramSize = 16 << 10
)

// Input holds the variables of a program.
type Input struct {
	Account string
	Weight  float64
	Rate    float64 // Rate is in tokens per second.
	Labels  []string
	Class   string
	Rank    int
}

// Share is the result of a program for one account and class.
type Share struct {
	// Weight is the account's share of a contended fleet relative to other accounts.
	Weight float64
	// Rate is the account's limit in tokens per second; zero is unlimited.
	Rate float64
	// Rank is the priority of the class in a queue; lower ranks come first.
	Rank int
	// Limit is the maximum fraction of a pool that the account may hold, above 0 and at most 1;
	// 1 is unlimited.
	Limit float64
}

// Program is a compiled policy. It is safe for concurrent use.
type Program struct {
	name    string
	program cel.Program
}

// Default returns the program that is used if no policy is configured: weights, rates and ranks
// are those of the accounts and classes.
func Default() *Program { return &Program{name: "default"} }

// Compile compiles a program. Compilation errors give line and column.
func Compile(name, text string) (p *Program, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "policy %q", name)
		}
	}()
	if len(text) > MaxProgramSize {
		return nil, eris.Errorf("program has %d bytes; at most %d are allowed", len(text), MaxProgramSize)
	}
	env, err := newEnv()
	if err != nil {
		return nil, err
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, issues.Err()
	}
	program, err := env.Program(ast, cel.CostLimit(MaxCost))
	if err != nil {
		return nil, err
	}
	return &Program{name: name, program: program}, nil
}

func newEnv() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("account", cel.StringType),
		cel.Variable("weight", cel.DoubleType),
		cel.Variable("rate", cel.DoubleType),
		cel.Variable("labels", cel.ListType(cel.StringType)),
		cel.Variable("class", cel.StringType),
		cel.Variable("rank", cel.IntType),
	)
}

// Share evaluates the program. It returns an error if the result has an unknown key, a wrong type
// or a value out of range.
func (p *Program) Share(in Input) (s Share, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "policy %q for account %q in class %q", p.name, in.Account, in.Class)
		}
	}()
	s = Share{Weight: in.Weight, Rate: in.Rate, Rank: in.Rank, Limit: 1}
	if p.program == nil {
		return s, nil
	}
	out, _, err := p.program.Eval(map[string]any{
		"account": in.Account,
		"weight":  in.Weight,
		"rate":    in.Rate,
		"labels":  in.Labels,
		"class":   in.Class,
		"rank":    in.Rank,
	})
	if err != nil {
		return Share{}, err
	}
	if err := s.merge(out); err != nil {
		return Share{}, err
	}
	return s, s.validate()
}

func (s *Share) merge(out ref.Val) error {
	m, ok := out.(traits.Mapper)
	if !ok {
		return eris.Errorf("result is a %s; it must be a map", out.Type().TypeName())
	}
	for it := m.Iterator(); it.HasNext() == types.True; {
		key := it.Next()
		if err := s.set(key.Value(), m.Get(key).Value()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Share) set(key, value any) error {
	n, ok := toNumber(value)
	if !ok {
		return eris.Errorf("%v is %v; it must be a number", key, value)
	}
	switch key {
	case "weight":
		s.Weight = n
	case "rate":
		s.Rate = n
	case "rank":
		s.Rank = int(n)
	case "limit":
		s.Limit = n
	default:
		return eris.Errorf("%v is unknown; weight, rate, rank and limit are allowed", key)
	}
	return nil
}

func toNumber(v any) (n float64, ok bool) {
	switch v := v.(type) {
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	case int64:
		return float64(v), true
	default:
		return 0, false
	}
}

func (s Share) validate() error {
	switch {
	case s.Weight <= 0:
		return eris.Errorf("weight is %g; it must be above 0", s.Weight)
	case s.Rate < 0:
		return eris.Errorf("rate is %g; it must not be negative", s.Rate)
	case s.Limit <= 0 || s.Limit > 1:
		return eris.Errorf("limit is %g; it must be above 0 and at most 1", s.Limit)
	}
	return nil
}
