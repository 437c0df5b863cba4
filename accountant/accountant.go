// Package accountant accounts for the memory that a node uses for the bodies of requests and
// for responses, and refuses more than its bound.
//
// A workspace may use as much as is left to all, times a weight of the class of its requests.
// One workspace thus gets half of the bound with requests of normal class, two get a third
// each, and there is always room for small requests of others.
//
// # Usage
//
//	a := accountant.New(50 << 20)
//	l := a.Open("gloves", schema.Class_CLASS_NORMAL)
//	defer l.Close()
//	if !l.Grow(4096) { refuse the request }
package accountant

import (
	"sync"

	"quetzalhub/schema"
)

// weightScale is the weight of the normal class.
const weightScale = 2

// weights are the shares that a workspace may use of what is left.
var weights = map[schema.Class]int64{
	schema.Class_CLASS_LOW:      weightScale / 2,
	schema.Class_CLASS_NORMAL:   weightScale,
	schema.Class_CLASS_HIGH:     weightScale * 2,
	schema.Class_CLASS_CRITICAL: weightScale * 4,
}

// Accountant accounts for memory. A nil Accountant has no bound.
type Accountant struct {
	bound int64

	mu   sync.Mutex
	used int64
	// usedBy holds what each workspace uses, if it uses any.
	usedBy map[string]int64
}

// New returns an Accountant with a bound in bytes.
func New(bound int64) *Accountant {
	return &Accountant{bound: bound, usedBy: map[string]int64{}}
}

// Usage is the memory in use.
type Usage struct {
	Used       int64 `json:"used"`
	Bound      int64 `json:"bound"`
	Workspaces int   `json:"workspaces"`
}

// Usage returns the memory in use.
func (a *Accountant) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{a.used, a.bound, len(a.usedBy)}
}

// Open returns the loan of a request, which is empty at first.
func (a *Accountant) Open(workspace string, class schema.Class) *Loan {
	weight, ok := weights[class]
	if !ok {
		weight = weightScale
	}
	return &Loan{accountant: a, workspace: workspace, weight: weight}
}

// Loan is the memory that a request uses. Its methods must not be called concurrently.
type Loan struct {
	accountant *Accountant
	workspace  string
	weight     int64
	bytes      int64
}

// Grow adds bytes to the loan, unless the workspace then used more than its share.
func (l *Loan) Grow(bytes int64) bool {
	a := l.accountant
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if (a.usedBy[l.workspace]+bytes)*weightScale > (a.bound-a.used)*l.weight || a.used+bytes > a.bound {
		return false
	}
	l.add(bytes)
	return true
}

// Take adds bytes to the loan without regard to the bound, for responses, which are not
// refused any more.
func (l *Loan) Take(bytes int64) {
	if l.accountant == nil {
		return
	}
	l.accountant.mu.Lock()
	defer l.accountant.mu.Unlock()
	l.add(bytes)
}

// Close returns all bytes of the loan. The loan can be used again.
func (l *Loan) Close() {
	if l.accountant == nil || l.bytes == 0 {
		return
	}
	l.accountant.mu.Lock()
	defer l.accountant.mu.Unlock()
	l.add(-l.bytes)
}

// add changes the loan. The caller holds the lock.
func (l *Loan) add(bytes int64) {
	a := l.accountant
	l.bytes += bytes
	a.used += bytes
	if a.usedBy[l.workspace] += bytes; a.usedBy[l.workspace] == 0 {
		delete(a.usedBy, l.workspace)
	}
}
