package cli

import (
	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
)

func (a *app) targetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "target", Short: "Drain targets"}
	cmd.AddCommand(
		a.drainCommand("drain", "Keep new work from a target", true),
		a.drainCommand("undrain", "Let new work back to a target", false),
	)
	return cmd
}

func (a *app) drainCommand(name, short string, drain bool) *cobra.Command {
	cmd := &cobra.Command{Use: name + " TARGET", Short: short, Args: cobra.ExactArgs(1)}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req := &adminv1.DrainRequest{Target: args[0], Drain: drain, Reason: *reason}
		resp, err := a.client().Drain(cmd.Context(), connect.NewRequest(req))
		if err != nil {
			return err
		}
		return a.printAccepted(cmd, resp.Msg)
	}
	return cmd
}

func (a *app) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Keys of client accounts"}
	cmd.AddCommand(a.makeKeyCommand(), a.revokeKeyCommand())
	return cmd
}

func (a *app) makeKeyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "make ACCOUNT", Short: "Make a key; it is shown once", Args: cobra.ExactArgs(1)}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req := &adminv1.MakeKeyRequest{Account: args[0], Reason: *reason}
		resp, err := a.client().MakeKey(cmd.Context(), connect.NewRequest(req))
		if err != nil {
			return err
		}
		return a.print(cmd, resp.Msg, "ID\tKEY\tVERSION", func(line func(...any)) {
			line(resp.Msg.GetId(), resp.Msg.GetKey(), resp.Msg.GetVersion())
		})
	}
	return cmd
}

func (a *app) revokeKeyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "revoke ACCOUNT ID", Short: "Revoke a key", Args: cobra.ExactArgs(2)}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		req := &adminv1.RevokeKeyRequest{Account: args[0], Id: args[1], Reason: *reason}
		resp, err := a.client().RevokeKey(cmd.Context(), connect.NewRequest(req))
		if err != nil {
			return err
		}
		return a.printAccepted(cmd, resp.Msg)
	}
	return cmd
}
