package cli

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show boxes and targets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := a.client().Status(cmd.Context(), connect.NewRequest(&adminv1.StatusRequest{}))
			if err != nil {
				return err
			}
			m := resp.Msg
			header := fmt.Sprintf("configuration %d, confirmed: %t\n\nTARGET\tHALL\tPOOL\tDRAIN\tANSWERS\tRUNNING\tFREE\tTOTAL", m.GetVersion(), m.GetConfirmed())
			return a.print(cmd, m, header, func(line func(...any)) {
				for _, t := range m.GetTargets() {
					line(t.GetId(), t.GetHall(), t.GetPool(), t.GetDrain(), t.GetAnswers(), t.GetRunning(), t.GetFreeTokens(), t.GetTotalTokens())
				}
				line()
				line("BOX", "HALL", "ADDR", "LEAVING")
				for _, b := range m.GetBoxes() {
					line(b.GetId(), b.GetHall(), b.GetAddr(), b.GetLeaving())
				}
			})
		},
	}
}
