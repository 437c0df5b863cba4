// Package schema contains the code generated from the definitions of the messages,
// services and settings.
//
// # Usage
//
// Edit the .proto files, then run "make generate". The generated files are
// committed, so that a build needs no generator. Add fields, but never remove or
// renumber them: nodes of consecutive releases must work together.
package schema
