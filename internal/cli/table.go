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
	addArgs     func(*flaggy.Subcommand) // adds flags and positional values
	run         func(context.Context, *session) error
}

// groupDescriptions describes the groups of commands, by the first word of the
// commands' names.
var groupDescriptions = map[string]string{
	"settings":      "Check and print an instance's settings",
	"document":      "Read and change the documents of services",
	"configuration": "Check a configuration of the platform",
	"explain":       "Explain the states of upstreams and the responses to requests",
	"keys":          "Create keys and certificates for mutual TLS authentication",
}

// commands returns the command table. Each call creates new flag variables.
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
		configurationCheckCommand(),
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

// parse finds the command that args name and sets its flags. If help was
// requested or the usage is wrong, it writes the help text and returns a nil
// command and the exit code.
func parse(args []string, s *session) (*command, int) {
	p := flaggy.NewParser("knapweedreel")
	p.Description = "Proxy fleet for upstreams that are faulty yet pass health checks"
	p.DisableShowVersionWithVersion()
	p.String(&s.output, "", "output", "Output format: text or json")
	bySubcommand := attach(p, commands())
	if len(args) == 0 {
		args = []string{"--help"}
	}
	if code, done := parseArgs(p, args, s); done {
		return nil, code
	}
	if c, ok := bySubcommand[p.TrailingSubcommand()]; ok {
		return c, ExitOK
	}
	writeHelp(p, s.stderr, "The command is incomplete.")
	return nil, ExitUsage
}

// attach adds the commands to the parser and returns them by their subcommand.
func attach(p *flaggy.Parser, table []*command) map[*flaggy.Subcommand]*command {
	bySubcommand := map[*flaggy.Subcommand]*command{}
	parents := map[string]*flaggy.Subcommand{}
	for _, c := range table {
		group, name, nested := strings.Cut(c.name, " ")
		if !nested {
			name = group
		}
		subcommand := flaggy.NewSubcommand(name)
		subcommand.Description = c.description
		subcommand.AdditionalHelpAppend = "\n  Examples:\n    " + strings.Join(c.examples, "\n    ")
		if c.addArgs != nil {
			c.addArgs(subcommand)
		}
		bySubcommand[subcommand] = c
		if !nested {
			p.AttachSubcommand(subcommand, 1)
			continue
		}
		parent, ok := parents[group]
		if !ok {
			parent = flaggy.NewSubcommand(group)
			parent.Description = groupDescriptions[group]
			parents[group] = parent
			p.AttachSubcommand(parent, 1)
		}
		parent.AttachSubcommand(subcommand, 1)
	}
	return bySubcommand
}

// By default, flaggy exits the process after showing help. With this setting it
// panics instead, so that parseArgs can choose the exit code and the writer.
func init() { flaggy.PanicInsteadOfExit = true }

// flaggyExitPrefix is the start of that panic's text. The exit code follows.
const flaggyExitPrefix = "Panic instead of exit with code: "

// parseArgs parses args with flaggy. It writes help to stdout if it was
// requested and to stderr if the usage is wrong.
func parseArgs(p *flaggy.Parser, args []string, s *session) (code int, done bool) {
	var shown *flaggy.Help
	helpTemplate := p.HelpTemplate
	p.HelpTemplate = template.Must(template.New("capture").
		Funcs(template.FuncMap{"capture": func(h flaggy.Help) string { shown = &h; return "" }}).
		Parse("{{capture .}}"))
	defer func() {
		p.HelpTemplate = helpTemplate
		if recovered := recover(); recovered != nil {
			text, ok := recovered.(string)
			if !ok || !strings.HasPrefix(text, flaggyExitPrefix) {
				panic(recovered)
			}
			code, done = finishHelp(p, shown, text == flaggyExitPrefix+"0", s), true
		}
	}()
	if err := p.ParseArgs(args); err != nil {
		return s.fail(exitErrorf(ExitUsage, "%v", err)), true
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

// writeHelp writes the help of the command that was parsed last. In the title
// and usage it replaces the command's last word, which flaggy shows, by the full
// name.
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
	_ = p.HelpTemplate.Execute(w, h) // a failed write of the help cannot be reported
	_, _ = io.WriteString(w, "\n")
}

// fullName returns the names from one command down to another, separated by
// spaces, or only the first name if wanted is not below from.
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
