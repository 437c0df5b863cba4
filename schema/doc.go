// Package schema holds the generated messages, services and settings.
//
// # Usage
//
// Edit the .proto files, then run "make generate". The generated files are
// committed, so that a build needs no generator. Fields are only ever added,
// never renumbered: nodes of neighbouring releases work together.
package schema
