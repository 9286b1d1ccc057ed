package lease

import "maps"

// Op is the operation of a Command. The zero Op is none.
type Op uint8

// Operations of a Command. Their numbers are part of the stored log.
const (
	Acquire Op = iota + 1 // take the role over from Expected.Holder, who may be ""
	Renew                 // extend the grant of the same holder
	Release               // end the grant of the same holder
)

// Command is an entry of the log.
type Command struct {
	Op       Op
	Role     string
	Member   string // who proposes it
	Expected Grant  // the grant as the proposer knew it; if it has changed, the command is rejected
}

// Result is the outcome of a Command.
type Result struct {
	Applied bool  `json:"done"`  // false: rejected, and nothing has changed
	Grant   Grant `json:"grant"` // the current grant after the command
}

// MaxRoles bounds the number of roles of a Table.
const MaxRoles = 64

// Table holds the grants of all roles; it is the state machine of the log. Tokens of a role never fall. Use
// NewTable. A Table is not safe for concurrent use.
type Table struct{ grants map[string]Grant }

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Get returns the current grant of a role, the zero Grant if there was none.
func (t *Table) Get(role string) Grant { return t.grants[role] }

// Grants returns a copy of all grants by role.
func (t *Table) Grants() map[string]Grant {
	grants := make(map[string]Grant, len(t.grants))
	maps.Copy(grants, t.grants)
	return grants
}

// Restore replaces the state by a copy of grants, as Grants returned them.
func (t *Table) Restore(grants map[string]Grant) {
	t.grants = make(map[string]Grant, len(grants))
	maps.Copy(t.grants, grants)
}

// Apply applies the command at an index of the log. Indexes have to rise from call to call. A command is
// rejected, and changes nothing, unless it names the current grant, is by the holder (Acquire by anybody),
// and finds room for its role.
func (t *Table) Apply(index uint64, cmd Command) Result {
	current, known := t.grants[cmd.Role]
	rejected := Result{Grant: current}
	switch {
	case cmd.Member == "" || cmd.Role == "":
		return rejected
	case cmd.Expected != current || index <= current.Token:
		return rejected
	case !known && len(t.grants) >= MaxRoles:
		return rejected
	case cmd.Op != Acquire && cmd.Member != current.Holder:
		return rejected
	}
	next := current
	switch cmd.Op {
	case Acquire:
		next = Grant{Holder: cmd.Member, Token: index}
	case Renew:
		next.Renewals++
	case Release:
		next = Grant{Token: current.Token, Renewals: current.Renewals + 1}
	default:
		return rejected
	}
	t.grants[cmd.Role] = next
	return Result{Applied: true, Grant: next}
}
