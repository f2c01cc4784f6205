package cli

import (
	"os"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	"github.com/barleystep/barleystep/internal/config"
)

func (a *app) policyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "Policies: who may use what share, in what order"}
	cmd.AddCommand(a.policyCheckCommand(), a.policyExplainCommand())
	return cmd
}

func (a *app) policyCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Run the policy of a configuration file for all its accounts and classes",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := readView(args[0])
			if err != nil {
				return err
			}
			return a.print(cmd, &adminv1.CheckResponse{}, shareHeader, func(line func(...any)) {
				for _, account := range v.Accounts() {
					for _, class := range v.Classes() {
						s := v.Share(account, class)
						line(account, class, s.Rank, s.Weight, s.Rate, s.Limit)
					}
				}
			})
		},
	}
}

const shareHeader = "ACCOUNT\tCLASS\tRANK\tWEIGHT\tRATE\tLIMIT"

// readView reads and validates a configuration file with the same code as the boxes.
func readView(name string) (*config.View, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := config.ParseFile(text)
	if err != nil {
		return nil, err
	}
	d, err := f.Document()
	if err != nil {
		return nil, err
	}
	return config.NewView(1, d)
}

func (a *app) policyExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ACCOUNT CLASS",
		Short: "Say what the policy in force gives to an account in a class",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			req := &adminv1.ExplainPolicyRequest{Account: args[0], Class: args[1]}
			resp, err := a.client().ExplainPolicy(cmd.Context(), connect.NewRequest(req))
			if err != nil {
				return err
			}
			m := resp.Msg
			return a.print(cmd, m, shareHeader+"\tPOLICY", func(line func(...any)) {
				line(args[0], args[1], m.GetRank(), m.GetWeight(), m.GetRate(), m.GetLimit(), m.GetPolicy())
			})
		},
	}
}
