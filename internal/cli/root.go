// Package cli implements the operators' command line, a client of the administration API.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep/api/admin/v1/adminv1connect"
	"github.com/barleystep/barleystep/internal/command"
)

// Exit codes of this command, in addition to those of package command.
const (
	ExitConflict    = 3
	ExitNotAllowed  = 4
	ExitNotFound    = 5
	ExitInvalid     = 6
	ExitUnavailable = 7
	// ExitUnknown means that a change may have been accepted; running the same command with the
	// printed id tells whether it was.
	ExitUnknown = 8
)

// ExitCode returns the exit code for the error of a command; nil gives command.ExitOK.
func ExitCode(err error) int {
	if err == nil {
		return command.ExitOK
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return ExitNotAllowed
	case connect.CodeNotFound:
		return ExitNotFound
	case connect.CodeInvalidArgument:
		return ExitInvalid
	case connect.CodeUnavailable:
		return ExitUnavailable
	case connect.CodeUnknown:
		return unknownExitCode(err)
	default:
		return command.ExitFailure
	}
}

// unknownExitCode returns ExitUnknown if the API returned the error, else command.ExitFailure.
func unknownExitCode(err error) int {
	if connect.IsWireError(err) {
		return ExitUnknown
	}
	return command.ExitFailure
}

// app holds the flags that all commands share.
type app struct {
	server string
	token  string
	output string
}

// Environment variables that set the defaults of flags.
const (
	envServer = "BARLEYSTEP_SERVER"
	envToken  = "BARLEYSTEP_TOKEN"
)

const (
	defaultServer = "http://127.0.0.1:8090"
	outputTable   = "table"
	outputJSON    = "json"
)

// New returns the root command with all subcommands.
func New() *cobra.Command {
	a := &app{}
	root := &cobra.Command{
		Use:           "barleystep",
		Short:         "Administer barleystep",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringVar(&a.server, "server", envOr(envServer, defaultServer), "root of the administration API ($"+envServer+")")
	f.StringVar(&a.token, "token", "", "operator's token ($"+envToken+")")
	f.StringVarP(&a.output, "output", "o", outputTable, "output: table or json")
	root.AddCommand(
		explainCommand(),
		lossesCommand(),
		a.configCommand(),
		a.targetCommand(),
		a.keyCommand(),
		a.policyCommand(),
		a.statusCommand(),
		command.VersionCommand(),
	)
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// maxMessageBytes bounds an answer, in bytes. The longest list the changes between two configurations.
const maxMessageBytes = 32 << 20

// client returns a client of the administration API that sends the operator's token.
func (a *app) client() adminv1connect.AdminClient {
	if a.token == "" {
		a.token = os.Getenv(envToken)
	}
	withToken := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+a.token)
			return next(ctx, req)
		}
	})
	return adminv1connect.NewAdminClient(http.DefaultClient, a.server, connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(withToken))
}

// print writes the message as JSON, or the header and rows as a table.
func (a *app) print(cmd *cobra.Command, m proto.Message, header string, rows func(line func(cells ...any))) error {
	out := cmd.OutOrStdout()
	if a.output == outputJSON {
		text, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		// protojson randomizes white space on purpose; scripts need stable output.
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			return err
		}
		return json.NewEncoder(out).Encode(value)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	if header != "" {
		fmt.Fprintln(w, header)
	}
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, c)
		}
		fmt.Fprintln(w)
	})
	return w.Flush()
}

// reasonFlag adds the required flag for the reason of a change.
func reasonFlag(cmd *cobra.Command) *string {
	reason := cmd.Flags().StringP("reason", "m", "", "reason for the change, kept in the history")
	_ = cmd.MarkFlagRequired("reason") // The flag exists.
	return reason
}
