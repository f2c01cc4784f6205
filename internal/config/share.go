package config

import "github.com/barleystep/barleystep/internal/policy"

// Share is the result of the policy for one account and class.
type Share = policy.Share

type shareKey struct {
	account string
	class   string
}

// evaluateShares evaluates the policy for every account and class in advance, so that
// requests need not.
func evaluateShares(v *View) (shares map[shareKey]Share, err error) {
	program, err := v.program()
	if err != nil {
		return nil, err
	}
	shares = make(map[shareKey]Share)
	for _, a := range v.accounts {
		for _, c := range v.classes {
			s, err := program.Share(policyInput(a, c))
			if err != nil {
				return nil, err
			}
			shares[shareKey{a.Name, c.Name}] = s
		}
	}
	return shares, nil
}

// program compiles the active policy: the first one by name, or the default
// policy if there is none.
func (v *View) program() (*policy.Program, error) {
	names := sortedNames(v.policies)
	if len(names) == 0 {
		return policy.Default(), nil
	}
	return policy.Compile(names[0], v.policies[names[0]].Program)
}

// PolicyName returns the name of the active policy, or "default" if there is none.
func (v *View) PolicyName() string {
	names := sortedNames(v.policies)
	if len(names) == 0 {
		return "default"
	}
	return names[0]
}

// Weighing returns the Weighing of the active policy, from 0 (short prompts first) to
// 1 (all alike).
func (v *View) Weighing() float64 {
	names := sortedNames(v.policies)
	if len(names) == 0 {
		return 0
	}
	return v.policies[names[0]].Weighing
}

// Share returns the result of the policy for the account and class, evaluated when the
// view was created.
func (v *View) Share(account, class string) Share {
	return v.shares[shareKey{account, class}]
}

// Explain evaluates the policy again for one account and class.
func (v *View) Explain(account, class string) (s Share, err error) {
	program, err := v.program()
	if err != nil {
		return Share{}, err
	}
	return program.Share(policyInput(v.accounts[account], v.classes[class]))
}

func policyInput(a Account, c Class) policy.Input {
	weight := a.Weight
	if weight == 0 {
		weight = DefaultWeight
	}
	return policy.Input{
		Account: a.Name,
		Weight:  weight,
		Rate:    a.Rate,
		Labels:  a.Labels,
		Class:   c.Name,
		Rank:    c.Rank,
	}
}
