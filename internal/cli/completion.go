package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/bilberryferry/bilberryferry/fault"
)

func completionCommand() *command {
	return &command{
		name:     "completion",
		synopsis: "Print a completion script for a shell",
		usage:    "bash",
		example:  "source <(bilberry completion bash)",
		run: func(_ context.Context, s *session, args []string) error {
			if err := requireArgs(args, "shell"); err != nil {
				return err
			}
			if args[0] != "bash" {
				return fault.Field("shell", "%q isn't supported; use bash", shorten(args[0]))
			}
			return s.writeBashCompletion(s.app.Stdout)
		},
	}
}

// actionsByCommand maps commands to the action words that may follow them.
var actionsByCommand = map[string][]string{"config": configActions, "workflow": workflowActions, "wave": waveActions}

// writeBashCompletion writes a script that completes commands, flags, action words and
// file names.
func (s *session) writeBashCompletion(out io.Writer) error {
	var names, cases strings.Builder
	for _, c := range s.app.commands() {
		fmt.Fprintf(&names, " %s", c.Name())
		f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
		newSession(s.app).bindFlags(c, f)
		words := flagNames(f)
		if actions := actionsByCommand[c.Name()]; actions != nil {
			words += " " + strings.Join(actions, " ")
		}
		fmt.Fprintf(&cases, "    %s) words=\"%s\" ;;\n", c.Name(), words)
	}
	globalFlags := flag.NewFlagSet(programName, flag.ContinueOnError)
	newSession(s.app).globals.bind(globalFlags)
	_, err := fmt.Fprintf(out, bashScript, names.String(), cases.String(), flagNames(globalFlags))
	return err
}

// flagNames returns the flags of a set, separated by spaces.
func flagNames(f *flag.FlagSet) string {
	names := []string{"--help"}
	f.VisitAll(func(f *flag.Flag) { names = append(names, "--"+f.Name) })
	return strings.Join(names, " ")
}

// bashScript is the format of the completion script. Its arguments are the names of
// the commands, a case for each command and the global flags. The script takes the
// first word that is a command's name as the command.
const bashScript = `# bash completion for bilberry
_bilberry() {
  local current="${COMP_WORDS[COMP_CWORD]}" commands="help%[1]s" command="" words="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    if [[ " $commands " == *" ${COMP_WORDS[i]} "* ]]; then
      command="${COMP_WORDS[i]}"
      break
    fi
  done
  case "$command" in
%[2]s    help) words="$commands" ;;
    *) words="$commands %[3]s" ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")
  if [[ ${#COMPREPLY[@]} -eq 0 || ( -n "$command" && "$current" != -* ) ]]; then
    mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -f -- "$current")
  fi
}
complete -o filenames -F _bilberry bilberry
`
