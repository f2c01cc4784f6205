package cli

import (
	"crypto/rand"
	"fmt"
	"os"
	"strconv"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
)

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Versions of the configuration"}
	cmd.AddCommand(a.configGetCommand(), a.submitCommand(), a.checkCommand(), a.historyCommand(), a.diffCommand(), a.restoreCommand())
	return cmd
}

func (a *app) configGetCommand() *cobra.Command {
	var version int64
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print a version as a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := a.client().Get(cmd.Context(), connect.NewRequest(&adminv1.GetRequest{Version: version}))
			if err != nil {
				return err
			}
			return a.print(cmd, resp.Msg, "", func(line func(...any)) {
				line(fmt.Sprintf("# version %d\n%s", resp.Msg.GetVersion(), resp.Msg.GetToml()))
			})
		},
	}
	cmd.Flags().Int64Var(&version, "version", 0, "version (default: the newest)")
	return cmd
}

func (a *app) submitCommand() *cobra.Command {
	var base int64
	var id string
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a file as a new version",
		Args:  cobra.ExactArgs(1),
	}
	reason := reasonFlag(cmd)
	cmd.Flags().Int64Var(&base, "base", 0, "version that the file was made from")
	cmd.Flags().StringVar(&id, "id", "", "id of the submission, to settle one whose answer was lost")
	_ = cmd.MarkFlagRequired("base") // The flag exists.
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		if id == "" {
			id = rand.Text()
		}
		req := &adminv1.SubmitRequest{Toml: string(text), Base: base, Reason: *reason, Id: id}
		resp, err := a.client().Submit(cmd.Context(), connect.NewRequest(req))
		if err != nil {
			return eris.Wrapf(err, "submission %s", id)
		}
		return a.printAccepted(cmd, resp.Msg)
	}
	return cmd
}

// printAccepted prints the version in which a change was accepted.
func (a *app) printAccepted(cmd *cobra.Command, resp *adminv1.SubmitResponse) error {
	return a.print(cmd, resp, "", func(line func(...any)) { line(fmt.Sprintf("accepted as version %d", resp.GetVersion())) })
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file and change nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			resp, err := a.client().Check(cmd.Context(), connect.NewRequest(&adminv1.CheckRequest{Toml: string(text)}))
			if err != nil {
				return err
			}
			return a.print(cmd, resp.Msg, "", func(line func(...any)) { line(args[0] + ": ok") })
		},
	}
}

func (a *app) historyCommand() *cobra.Command {
	var limit int32
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List versions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := a.client().History(cmd.Context(), connect.NewRequest(&adminv1.HistoryRequest{Limit: limit}))
			if err != nil {
				return err
			}
			return a.print(cmd, resp.Msg, "VERSION\tAT\tAUTHOR\tCHANGES\tREASON", func(line func(...any)) {
				for _, v := range resp.Msg.GetVersions() {
					line(v.GetVersion(), v.GetAt(), v.GetAuthor(), v.GetChanges(), v.GetReason())
				}
			})
		},
	}
	cmd.Flags().Int32Var(&limit, "limit", 0, "most versions to list (default 20)")
	return cmd
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "List what differs between two versions",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return err
			}
			to, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil {
				return err
			}
			resp, err := a.client().Diff(cmd.Context(), connect.NewRequest(&adminv1.DiffRequest{From: from, To: to}))
			if err != nil {
				return err
			}
			return a.print(cmd, resp.Msg, "KIND\tNAME\tBEFORE\tAFTER", func(line func(...any)) {
				for _, c := range resp.Msg.GetChanges() {
					line(c.GetKind(), c.GetName(), c.GetBefore(), c.GetAfter())
				}
			})
		},
	}
}

func (a *app) restoreCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "restore VERSION",
		Short: "Submit the content of an old version anew",
		Args:  cobra.ExactArgs(1),
	}
	reason := reasonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		v, err := strconv.ParseInt(args[0], 10, 64)
		if err != nil {
			return err
		}
		resp, err := a.client().Restore(cmd.Context(), connect.NewRequest(&adminv1.RestoreRequest{Version: v, Reason: *reason}))
		if err != nil {
			return err
		}
		return a.printAccepted(cmd, resp.Msg)
	}
	return cmd
}
