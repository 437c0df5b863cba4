// Package parser parses a planning sheet: a spreadsheet export that lists all workspaces
// with their rates and bursts.
//
// # Usage
//
//	rows, err := parser.Parse(data)
//
// The export may be UTF-8, UTF-16 or Windows-1252, with or without a byte-order
// mark, separated by commas, semicolons or tabs, with any line breaks, decimal
// points or commas, quoted or not. Headings are accepted in English, Spanish and
// French. Empty rows are skipped. A truncated file is an error.
//
// Parse reports every fault at once, each with its row and column numbered
// as in a spreadsheet.
package parser

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"

	"quetzalhub/configurer"
)

// Row is one workspace of a sheet.
type Row struct {
	// Line is the number of the row in the sheet, counted from one.
	Line      int
	Workspace string
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Fault is an error in a sheet.
type Fault struct {
	Row int
	// Column is counted from one; zero stands for the whole row.
	Column int
	Reason string
}

// String returns the fault with its row and column.
func (f Fault) String() string {
	if f.Column == 0 {
		return fmt.Sprintf("row %d: %s", f.Row, f.Reason)
	}
	return fmt.Sprintf("row %d, column %d (%s): %s", f.Row, f.Column, columnLetters(f.Column), f.Reason)
}

// columnLetters returns the letters that name a column in a spreadsheet, such as AB.
func columnLetters(column int) string {
	name := ""
	for ; column > 0; column = (column - 1) / 26 {
		name = string(rune('A'+(column-1)%26)) + name
	}
	return name
}

// Faults is the error returned for a sheet with faults.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// column identifies the kind of value in a column.
type column int

const (
	columnWorkspace column = iota
	columnRate
	columnBurst
)

// headings maps the accepted headings in English, Spanish and French to columns.
var headings = map[string]column{
	"workspace": columnWorkspace, "espacio": columnWorkspace, "espacio de trabajo": columnWorkspace,
	"espace": columnWorkspace, "espace de travail": columnWorkspace,
	"rate": columnRate, "tasa": columnRate, "débit": columnRate, "debit": columnRate,
	"burst": columnBurst, "ráfaga": columnBurst, "rafaga": columnBurst, "rafale": columnBurst,
}

// Parse parses a sheet. Its error lists all faults.
func Parse(data []byte) ([]Row, error) {
	text, err := decode(data)
	if err != nil {
		return nil, Faults{{Row: 1, Reason: err.Error()}}
	}
	if !strings.HasSuffix(text, "\n") {
		return nil, Faults{{Row: 1 + strings.Count(text, "\n"), Reason: "the file is truncated: its last row has no line break"}}
	}
	records, faults := readRecords(text)
	if len(faults) > 0 {
		return nil, faults
	}
	return parseRows(records)
}

// record is a row that is not empty.
type record struct {
	line   int
	fields []string
}

// readRecords splits the text into rows and fields.
func readRecords(text string) ([]record, Faults) {
	reader := csv.NewReader(bytes.NewReader([]byte(text)))
	reader.Comma = separator(text)
	reader.FieldsPerRecord = -1
	var records []record
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			return nil, Faults{{Row: parseErr.StartLine, Reason: parseErr.Err.Error()}}
		}
		line, _ := reader.FieldPos(0)
		if r := (record{line, trimFields(fields)}); !r.empty() {
			records = append(records, r)
		}
	}
}

// separator returns the most frequent separator of the first row that has a
// separator and is not empty.
func separator(text string) rune {
	for line := range strings.Lines(text) {
		best, most := ',', 0
		for _, candidate := range []rune{',', ';', '\t'} {
			if n := strings.Count(line, string(candidate)); n > most {
				best, most = candidate, n
			}
		}
		if most > 0 && strings.Trim(line, ",;\t\r\n ") != "" {
			return best
		}
	}
	return ','
}

func trimFields(fields []string) []string {
	trimmed := make([]string, len(fields))
	for i, f := range fields {
		trimmed[i] = strings.TrimSpace(strings.ReplaceAll(f, "\u00a0", " "))
	}
	return trimmed
}

func (r record) empty() bool { return strings.Join(r.fields, "") == "" }

// parseRows converts records into rows; the first record holds the headings.
func parseRows(records []record) ([]Row, error) {
	if len(records) == 0 {
		return nil, Faults{{Row: 1, Reason: "the sheet is empty"}}
	}
	columns, faults := findColumns(records[0])
	if len(faults) > 0 {
		return nil, faults
	}
	var rows []Row
	firstLine := map[string]int{}
	for _, r := range records[1:] {
		row, rowFaults := parseRow(r, columns)
		if line, seen := firstLine[row.Workspace]; seen && row.Workspace != "" {
			reason := fmt.Sprintf("workspace %q is already listed in row %d", row.Workspace, line)
			rowFaults = append(rowFaults, Fault{r.line, columns[columnWorkspace] + 1, reason})
		}
		firstLine[row.Workspace] = r.line
		faults = append(faults, rowFaults...)
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		faults = append(faults, Fault{Row: records[0].line, Reason: "the sheet has headings but no workspaces"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return rows, nil
}

// findColumns returns the index of each column.
func findColumns(r record) (map[column]int, Faults) {
	found := map[column]int{}
	var faults Faults
	for i, heading := range r.fields {
		if heading == "" {
			continue
		}
		c, known := headings[strings.ToLower(heading)]
		if !known {
			faults = append(faults, Fault{r.line, i + 1, fmt.Sprintf("unknown heading %q", heading)})
			continue
		}
		if _, duplicate := found[c]; duplicate {
			faults = append(faults, Fault{r.line, i + 1, fmt.Sprintf("duplicate heading %q", heading)})
		}
		found[c] = i
	}
	names := map[column]string{columnWorkspace: "workspace", columnRate: "rate", columnBurst: "burst"}
	for _, c := range []column{columnWorkspace, columnRate, columnBurst} {
		if _, ok := found[c]; !ok && len(faults) == 0 {
			faults = append(faults, Fault{Row: r.line, Reason: "no column headed " + names[c]})
		}
	}
	return found, faults
}

func parseRow(r record, columns map[column]int) (Row, Faults) {
	row := Row{Line: r.line}
	var faults Faults
	field := func(c column) string {
		if i := columns[c]; i < len(r.fields) {
			return r.fields[i]
		}
		return ""
	}
	fault := func(c column, err error) {
		faults = append(faults, Fault{r.line, columns[c] + 1, err.Error()})
	}
	row.Workspace = field(columnWorkspace)
	if err := configurer.CheckName(row.Workspace); err != nil {
		fault(columnWorkspace, err)
	}
	var err error
	if row.Rate, err = parseNumber(field(columnRate)); err != nil {
		fault(columnRate, err)
	} else if err := configurer.CheckLimit(row.Rate, 1); err != nil {
		fault(columnRate, err)
	}
	if row.Burst, err = parseNumber(field(columnBurst)); err != nil {
		fault(columnBurst, err)
	} else if err := configurer.CheckLimit(0, row.Burst); err != nil {
		fault(columnBurst, err)
	}
	return row, faults
}
