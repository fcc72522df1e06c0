package cli

import (
	"context"
	"io"
	"strings"
	"text/template"

	"github.com/integrii/flaggy"
)

// command is one row of the command table.
type command struct {
	name        string // as typed, such as "document put"
	description string
	examples    []string
	define      func(*flaggy.Subcommand) // adds flags and positional values
	run         func(context.Context, *session) error
}

// groups describes the first words of commands of two words.
var groups = map[string]string{
	"settings": "Check and print an instance's settings",
	"document": "Read and change the documents of services",
	"explain":  "Show why the fleet did what it did",
	"keys":     "Create keys for mutual authentication",
}

// commands returns the command table. Each call gives new variables for flags.
func commands() []*command {
	return []*command{
		serveCommand(),
		settingsCheckCommand(),
		settingsPrintCommand(),
		documentCheckCommand(),
		documentPutCommand(),
		documentGetCommand(),
		documentDiffCommand(),
		documentHistoryCommand(),
		documentStatusCommand(),
		locateCommand(),
		explainUpstreamCommand(),
		explainRequestCommand(),
		explainLogCommand(),
		auditCommand(),
		keysAuthorityCommand(),
		keysInstanceCommand(),
		keysOperatorCommand(),
		versionCommand(),
	}
}

// parse finds the command that args name and sets its flags. It returns no
// command when help was asked for or the usage is wrong; the help text has
// then been written and the exit code is returned.
func parse(args []string, s *session) (*command, int) {
	p := flaggy.NewParser("knapweedreel")
	p.Description = "Proxy fleet for upstreams that are faulty yet pass health checks"
	p.DisableShowVersionWithVersion()
	p.String(&s.output, "", "output", "Form of printed data: text or json")
	byNode := attach(p, commands())
	if len(args) == 0 {
		args = []string{"--help"}
	}
	if code, ended := parseArgs(p, args, s); ended {
		return nil, code
	}
	if c, ok := byNode[p.TrailingSubcommand()]; ok {
		return c, ExitOK
	}
	writeHelp(p, s.stderr, "The command is not complete.")
	return nil, ExitUsage
}

// attach adds the commands to the parser and returns them by their node.
func attach(p *flaggy.Parser, table []*command) map[*flaggy.Subcommand]*command {
	byNode := map[*flaggy.Subcommand]*command{}
	parents := map[string]*flaggy.Subcommand{}
	for _, c := range table {
		group, name, nested := strings.Cut(c.name, " ")
		if !nested {
			name = group
		}
		node := flaggy.NewSubcommand(name)
		node.Description = c.description
		node.AdditionalHelpAppend = "\n  Examples:\n    " + strings.Join(c.examples, "\n    ")
		if c.define != nil {
			c.define(node)
		}
		byNode[node] = c
		if !nested {
			p.AttachSubcommand(node, 1)
			continue
		}
		parent, ok := parents[group]
		if !ok {
			parent = flaggy.NewSubcommand(group)
			parent.Description = groups[group]
			parents[group] = parent
			p.AttachSubcommand(parent, 1)
		}
		parent.AttachSubcommand(node, 1)
	}
	return byNode
}

// flaggy ends the process itself after it has shown help, unless it is told to
// panic. The exit code and the writer are chosen here instead.
func init() { flaggy.PanicInsteadOfExit = true }

// flaggyExit is the text of that panic, followed by the exit code.
const flaggyExit = "Panic instead of exit with code: "

// parseArgs lets flaggy parse args. The help that flaggy wants to show goes to
// stdout when it was asked for and to stderr when the usage is wrong.
func parseArgs(p *flaggy.Parser, args []string, s *session) (code int, ended bool) {
	var shown *flaggy.Help
	layout := p.HelpTemplate
	p.HelpTemplate = template.Must(template.New("capture").
		Funcs(template.FuncMap{"capture": func(h flaggy.Help) string { shown = &h; return "" }}).
		Parse("{{capture .}}"))
	defer func() {
		p.HelpTemplate = layout
		if recovered := recover(); recovered != nil {
			text, ok := recovered.(string)
			if !ok || !strings.HasPrefix(text, flaggyExit) {
				panic(recovered)
			}
			code, ended = finishHelp(p, shown, text == flaggyExit+"0", s), true
		}
	}()
	if err := p.ParseArgs(args); err != nil {
		return s.fail(exitWith(ExitUsage, "%v", err)), true
	}
	return ExitOK, false
}

func finishHelp(p *flaggy.Parser, shown *flaggy.Help, succeeded bool, s *session) int {
	switch {
	case shown != nil && shown.Message == "":
		writeHelp(p, s.stdout, "")
		return ExitOK
	case shown != nil:
		writeHelp(p, s.stderr, shown.Message)
	case succeeded: // flaggy has written a completion script
		return ExitOK
	}
	return ExitUsage
}

// writeHelp writes the help of the command that was parsed last. flaggy names
// only the command's last word in its title and usage.
func writeHelp(p *flaggy.Parser, w io.Writer, message string) {
	var h flaggy.Help
	h.ExtractValues(p, message)
	full := fullName(&p.Subcommand, p.TrailingSubcommand())
	for i, line := range h.Lines {
		indent, rest := line[:len(line)-len(strings.TrimLeft(line, " "))], strings.TrimLeft(line, " ")
		title := strings.HasPrefix(line, h.CommandName+" - ")
		if title || i > 0 && h.Lines[i-1] == "  Usage:" {
			h.Lines[i] = indent + full + strings.TrimPrefix(rest, h.CommandName)
		}
	}
	_ = p.HelpTemplate.Execute(w, h) // nothing is left to do when the terminal is gone
	_, _ = io.WriteString(w, "\n")
}

// fullName returns the words that lead from a command to one below it, or the
// command's own name when wanted is not there.
func fullName(from, wanted *flaggy.Subcommand) string {
	for _, sub := range from.Subcommands {
		if sub == wanted {
			return from.Name + " " + sub.Name
		}
		if name := fullName(sub, wanted); name != sub.Name {
			return from.Name + " " + name
		}
	}
	return from.Name
}
