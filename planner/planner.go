// Package planner compares a planning sheet, a spreadsheet export of all workspaces and
// their limits, with the configuration and applies it.
//
// # Usage
//
//	plan := planner.Compare(state, rows)
//	err := planner.Apply(state, rows, planner.Conditions{Config: plan.Config, Removals: 1})
//
// A sheet is the complete list of workspaces: those that it does not list are removed.
// Apply requires the expected number of removals, so that a sheet with missing rows
// removes nothing by accident. API keys are not part of the sheet; a withdrawn key
// stays withdrawn.
package planner

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"quetzalhub/configurer"
	"quetzalhub/parser"
	"quetzalhub/schema"
)

// Kind is the kind of a difference.
type Kind string

// Kinds of differences.
const (
	Add    Kind = "add"
	Change Kind = "change"
	Remove Kind = "remove"
)

// Difference is the change that a sheet would make to one workspace.
type Difference struct {
	Kind      Kind    `json:"kind"`
	Workspace string  `json:"workspace"`
	OldRate   float64 `json:"old_rate"`
	OldBurst  float64 `json:"old_burst"`
	NewRate   float64 `json:"new_rate"`
	NewBurst  float64 `json:"new_burst"`
	// Row is the row of the sheet; zero for removals.
	Row int `json:"row,omitempty"`
}

// Plan lists the changes that a sheet would make.
type Plan struct {
	// Config is the version of the configuration that the sheet was compared with.
	Config      uint64       `json:"config"`
	Differences []Difference `json:"differences"`
}

// Removals returns the number of workspaces that the plan removes.
func (p Plan) Removals() int {
	n := 0
	for _, d := range p.Differences {
		if d.Kind == Remove {
			n++
		}
	}
	return n
}

// Conditions must hold for a sheet to be applied.
type Conditions struct {
	// Config is the version of the configuration that the plan was made for.
	Config uint64
	// Removals is the expected number of workspaces to be removed.
	Removals int
}

// Compare returns the changes that a sheet would make to a state.
func Compare(s *schema.State, rows []parser.Row) Plan {
	plan := Plan{Config: s.GetConfig().GetVersion()}
	existing := map[string]*schema.Workspace{}
	for _, w := range s.GetConfig().GetWorkspaces() {
		existing[w.GetName()] = w
	}
	for _, r := range rows {
		w, exists := existing[r.Workspace]
		delete(existing, r.Workspace)
		d := Difference{Change, r.Workspace, w.GetRate(), w.GetBurst(), r.Rate, r.Burst, r.Line}
		if !exists {
			d.Kind = Add
		}
		if !exists || d.OldRate != d.NewRate || d.OldBurst != d.NewBurst {
			plan.Differences = append(plan.Differences, d)
		}
	}
	for name, w := range existing {
		d := Difference{Kind: Remove, Workspace: name, OldRate: w.GetRate(), OldBurst: w.GetBurst()}
		plan.Differences = append(plan.Differences, d)
	}
	slices.SortFunc(plan.Differences, func(a, b Difference) int { return strings.Compare(a.Workspace, b.Workspace) })
	return plan
}

// Apply changes a state to match the sheet, as a whole or not at all: it changes nothing
// unless the conditions hold.
func Apply(s *schema.State, rows []parser.Row, c Conditions) error {
	plan := Compare(s, rows)
	if plan.Config != c.Config {
		return errors.Errorf("the configuration is at version %d, but the plan was made for version %d; make a new plan", plan.Config, c.Config)
	}
	if n := plan.Removals(); n != c.Removals {
		return errors.Errorf("the sheet removes %d workspaces, but %d removals were expected; nothing was changed", n, c.Removals)
	}
	for _, d := range plan.Differences {
		var err error
		if d.Kind == Remove {
			err = configurer.RemoveWorkspace(s, d.Workspace)
		} else {
			err = configurer.SetWorkspace(s, d.Workspace, d.NewRate, d.NewBurst)
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
