package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep/internal/explain"
)

// explainCommand returns the command that prints the log lines of one request.
func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST [FILE ...]",
		Short: "Tell what became of a request, from the log lines of routers",
		Long:  "Reads log lines from the files, or from standard input, and prints those about the request and its targets over all boxes in order of time.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			in, closeAll, err := openAll(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			lines, err := explain.RequestLines(in, args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return eris.Errorf("no line is about request %q", args[0])
			}
			for _, l := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), l)
			}
			return nil
		},
	}
}

// lossesCommand returns the command that prints, for each route, why streams were late or not
// served.
func lossesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "losses [FILE ...]",
		Short: "Tell why streams were late, by route, from the log lines of routers",
		Long:  "Reads log lines from the files, or from standard input, and prints for each route how many streams were late or not served, by cause.",
		RunE: func(cmd *cobra.Command, args []string) (err error) {
			in, closeAll, err := openAll(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			defer closeAll()
			losses, err := explain.LossesByRoute(in)
			if err != nil {
				return err
			}
			for _, l := range losses {
				fmt.Fprintln(cmd.OutOrStdout(), l)
			}
			return nil
		},
	}
}

// openAll returns the concatenated content of the files, or standard input if there are none.
// closeAll closes the files.
func openAll(stdin io.Reader, names []string) (in io.Reader, closeAll func(), err error) {
	var readers []io.Reader
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // The file was only read.
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, eris.Wrap(err, "explain")
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	if len(readers) == 0 {
		return stdin, closeAll, nil
	}
	return io.MultiReader(readers...), closeAll, nil
}
