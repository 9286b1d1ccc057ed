package lease

import "maps"

// Op is the operation of a Command. The zero Op is none.
type Op uint8

// Operations of a Command. Their numbers are stored in the log.
const (
	Acquire Op = iota + 1 // grant the role to Member, in place of Expected.Holder if that isn't ""
	Renew                 // extend the grant of the same holder
	Release               // end the grant of the same holder
)

// Command is an entry of the log.
type Command struct {
	Op       Op
	Role     string
	Member   string // name of the proposer
	Expected Grant  // the grant as the proposer knew it; the command is rejected if it has changed
}

// Result is the outcome of a Command.
type Result struct {
	Applied bool  `json:"done"`  // false: rejected, and nothing has changed
	Grant   Grant `json:"grant"` // the current grant after the command
}

// MaxRoles bounds the number of roles in a Table.
const MaxRoles = 64

// Table is the replicated state machine of the leases: it has the current grant of each role. The token of a
// role never falls. Create it with NewTable. A Table is not safe for concurrent use.
type Table struct{ grants map[string]Grant }

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: map[string]Grant{}} }

// Get returns the current grant of a role, the zero Grant if the role was never granted.
func (t *Table) Get(role string) Grant { return t.grants[role] }

// Grants returns a copy of all grants by role.
func (t *Table) Grants() map[string]Grant {
	grants := make(map[string]Grant, len(t.grants))
	maps.Copy(grants, t.grants)
	return grants
}

// Restore replaces the state with a copy of grants, which Grants returned.
func (t *Table) Restore(grants map[string]Grant) {
	t.grants = make(map[string]Grant, len(grants))
	maps.Copy(t.grants, grants)
}

// Apply applies the command at an index of the log. Indexes must rise from call to call. A command is
// rejected, and changes nothing, unless it names the current grant, comes from the holder (an Acquire may
// come from any member), and its role is already known or fits within MaxRoles.
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
