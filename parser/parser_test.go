package parser_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/text/encoding/charmap"
	"golang.org/x/text/encoding/unicode"

	"quetzalhub/parser"
)

func encode(text, encoding string) []byte {
	var data []byte
	switch encoding {
	case "windows-1252":
		data, _ = charmap.Windows1252.NewEncoder().Bytes([]byte(text))
	case "utf-16":
		data, _ = unicode.UTF16(unicode.LittleEndian, unicode.UseBOM).NewEncoder().Bytes([]byte(text))
	default:
		data = []byte(text)
	}
	return data
}

func TestParseExportFormats(t *testing.T) {
	cases := map[string]struct{ text, encoding string }{
		"comma":               {"workspace,rate,burst\ngloves,12.5,40\nplanes,7,8\n", ""},
		"semicolon, CRLF":     {"espacio;tasa;ráfaga\r\ngloves;12,5;40\r\nplanes;7;8\r\n", ""},
		"tab, BOM":            {"\ufeffEspace\tDébit\tRafale\ngloves\t12,5\t40\nplanes\t7\t8\n", ""},
		"Windows-1252":        {"espacio;tasa;ráfaga\r\ngloves;12,5;40\r\nplanes;7;8\r\n", "windows-1252"},
		"UTF-16":              {"espace;débit;rafale\r\ngloves;12,5;40\r\nplanes;7;8\r\n", "utf-16"},
		"quoted, comma":       {"workspace,rate,burst\n\"gloves\",\"12,5\",40\nplanes,7,8\n", ""},
		"empty rows, columns": {"\n;;\nworkspace;rate;burst;\n\n;;;\ngloves;12,5;40;\n;;;\nplanes;7;8;\n\n", ""},
		"other order":         {"burst;workspace;rate\n40;gloves;12,5\n8;planes;7\n", ""},
		"CR line breaks":      {"workspace;rate;burst\rgloves;12,5;40\rplanes;7;8\r", ""},
		"spaces":              {" workspace ; rate;burst\n gloves;\u00a012,5 ;40\nplanes;7;8\n", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rows, err := parser.Parse(encode(c.text, c.encoding))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rows).To(HaveLen(2))
			g.Expect(rows[0].Workspace).To(Equal("gloves"))
			g.Expect(rows[0].Rate).To(Equal(12.5))
			g.Expect(rows[0].Burst).To(Equal(40.0))
			g.Expect(rows[1].Rate).To(Equal(7.0))
		})
	}
}

func TestFaults(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"truncated in a row":  {"workspace,rate,burst\ngloves,12.5,4", "row 2: the file is truncated"},
		"not a number":        {"workspace,rate,burst\ngloves,many,4\n", `row 2, column 2 (B): "many" is not a number`},
		"ambiguous number":    {"workspace;rate;burst\ngloves;1.200;4\n", "row 2, column 2 (B): \"1.200\" is ambiguous"},
		"negative":            {"workspace,rate,burst\ngloves,-1,4\n", "row 2, column 2 (B)"},
		"too large":           {"workspace,rate,burst\ngloves,99999999999,4\n", "row 2, column 2 (B): rate"},
		"no burst":            {"workspace,rate,burst\ngloves,1\n", "row 2, column 3 (C): empty"},
		"duplicate workspace": {"workspace,rate,burst\ngloves,1,1\ngloves,2,2\n", "row 3, column 1 (A): workspace \"gloves\" is already listed in row 2"},
		"invalid name":        {"workspace,rate,burst\nGloves Ltd,1,1\n", "row 2, column 1 (A): name \"Gloves Ltd\""},
		"unknown heading":     {"workspace,rate,burst,colour\ngloves,1,1,red\n", "row 1, column 4 (D): unknown heading \"colour\""},
		"missing heading":     {"workspace,rate\ngloves,1\n", "row 1: no column headed burst"},
		"empty":               {"\n", "the sheet is empty"},
		"headings only":       {"workspace,rate,burst\n", "no workspaces"},
		"broken quotes":       {"workspace,rate,burst\n\"gloves,1,1\n", "row 2"},
		"binary":              {"PK\x00\x00\n", "not a text export"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse([]byte(c.text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, err := parser.Parse([]byte("workspace,rate,burst\nA,x,y\nb,1,z\n"))
	faults, ok := err.(parser.Faults)
	g.Expect(ok).To(BeTrue())
	g.Expect(faults).To(HaveLen(4))
}
