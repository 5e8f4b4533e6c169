package exchange_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a head that can be read in more than one way: a field that one reader
// ignores and another one takes for the length of the body, and names that are none.
func TestFields(t *testing.T) {
	const fine, chunks = "\r\nfine", "\r\n4\r\nfine\r\n0\r\n\r\n"
	tests := map[string]struct {
		raw string
		// body is that of a complete response, empty for an incomplete one.
		body string
	}{
		"blank before the colon":          {head200 + "X : y\r\nContent-Length: 4\r\n" + fine, ""},
		"tab before the colon":            {head200 + "X\t: y\r\nContent-Length: 4\r\n" + fine, ""},
		"blanks before the colon":         {head200 + "X   : y\r\nContent-Length: 4\r\n" + fine, ""},
		"blank in a name":                 {head200 + "X Y: y\r\nContent-Length: 4\r\n" + fine, ""},
		"blank before a name":             {head200 + " X: y\r\nContent-Length: 4\r\n" + fine, ""},
		"nothing but a blank":             {head200 + "A: b\r\nContent-Length: 4\r\n : y\r\n" + fine, ""},
		"blank name after an empty value": {head200 + "Content-Length: 4\r\nA:\r\n" + fine, "fine"},
		"no name":                         {head200 + ": y\r\nContent-Length: 4\r\n" + fine, ""},
		"no colon":                        {head200 + "X y\r\nContent-Length: 4\r\n" + fine, ""},
		"NUL in a name":                   {head200 + "X\x00Y: y\r\nContent-Length: 4\r\n" + fine, ""},
		"control byte in a name":          {head200 + "X\x01Y: y\r\nContent-Length: 4\r\n" + fine, ""},
		"escape in a name":                {head200 + "X\x1bY: y\r\nContent-Length: 4\r\n" + fine, ""},
		"vertical tab in a name":          {head200 + "X\x0bY: y\r\nContent-Length: 4\r\n" + fine, ""},
		"delete in a name":                {head200 + "X\x7fY: y\r\nContent-Length: 4\r\n" + fine, ""},
		"carriage return in a name":       {head200 + "X\rY: y\r\nContent-Length: 4\r\n" + fine, ""},
		"no ASCII in a name":              {head200 + "X\xe9Y: y\r\nContent-Length: 4\r\n" + fine, ""},
		"separator in a name":             {head200 + "X(Y): y\r\nContent-Length: 4\r\n" + fine, ""},
		"status line once more":           {head200 + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + fine, ""},
		"NUL in a value":                  {head200 + "X: a\x00b\r\nContent-Length: 4\r\n" + fine, ""},
		"control byte in a value":         {head200 + "X: a\x01b\r\nContent-Length: 4\r\n" + fine, ""},
		"carriage return in a value":      {head200 + "X: a\rb\r\nContent-Length: 4\r\n" + fine, ""},
		"two carriage returns":            {head200 + "X: a\r\r\nContent-Length: 4\r\n" + fine, ""},
		"control byte in the reason":      {"HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n" + fine, ""},
		"length, blank before the colon":  {head200 + "Content-Length : 4\r\n" + fine, ""},
		"length, blank in the name":       {head200 + "Content Length: 4\r\n" + fine, ""},
		"length too short, blank":         {head200 + "Content-Length : 2\r\n" + fine, ""},
		"lengths, one with a blank":       {head200 + "Content-Length: 4\r\nContent-Length : 2\r\n" + fine, ""},
		"chunks, blank before the colon":  {head200 + "Transfer-Encoding : chunked\r\n" + chunks, ""},
		"chunks, blank and a length":      {head200 + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n" + chunks, ""},
		"after an interim response":       {"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + head200 + "X : y\r\nContent-Length: 4\r\n" + fine, ""},
		"in an interim response":          {"HTTP/1.1 103 Early Hints\r\nLink : <x>\r\n\r\n" + head200 + "Content-Length: 4\r\n" + fine, ""},
		"two lengths":                     {head200 + "Content-Length: 4\r\nContent-Length: 2\r\n" + fine, ""},
		"list of lengths":                 {head200 + "Content-Length: 4, 4\r\n" + fine, ""},
		"negative length":                 {head200 + "Content-Length: -4\r\n" + fine, ""},
		"length with a sign":              {head200 + "Content-Length: +4\r\n" + fine, ""},
		"empty length":                    {head200 + "Content-Length:\r\n" + fine, ""},
		"length and chunks":               {head200 + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" + chunks, "fine"},
		"chunks and length":               {head200 + "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n" + chunks, "fine"},
		"chunks in HTTP/1.0":              {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		"chunks and length in HTTP/1.0":   {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		"another coding in HTTP/1.0":      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n" + fine, ""},
		"chunks twice":                    {head200 + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks, ""},
		"another encoding":                {head200 + "Transfer-Encoding: gzip\r\n" + fine, ""},
		"encodings":                       {head200 + "Transfer-Encoding: gzip, chunked\r\n" + chunks, ""},
		"size of a chunk with a sign":     {head200 + "Transfer-Encoding: chunked\r\n\r\n+4\r\nfine\r\n0\r\n\r\n", ""},
		"size of a chunk in C":            {head200 + "Transfer-Encoding: chunked\r\n\r\n0x4\r\nfine\r\n0\r\n\r\n", ""},
		"more in a chunk than its size":   {head200 + "Transfer-Encoding: chunked\r\n\r\n2\r\nfine\r\n0\r\n\r\n", ""},
		"trailer, blank before a colon":   {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX : y\r\n\r\n", ""},
		"trailer, blank in a name":        {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nA: b\r\nX Y: y\r\n\r\n", ""},
		"trailer, control byte":           {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX\x01: y\r\n\r\n", ""},
		"trailer, no colon":               {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX y\r\n\r\n", ""},
		"sound trailer":                   {head200 + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX: a b\r\n\r\n", "fine"},
		"sound":                           {head200 + "X: y\r\nContent-Length: 4\r\n" + fine, "fine"},
		"sound chunks":                    {head200 + "Transfer-Encoding: chunked\r\n" + chunks, "fine"},
		"same length twice":               {head200 + "Content-Length: 4\r\nContent-Length: 4\r\n" + fine, "fine"},
		"all tokens":                      {head200 + "!#$%&'*+-.^_`|~09azAZ: y\r\nContent-Length: 4\r\n" + fine, "fine"},
		"no blank after the colon":        {head200 + "X:y\r\nContent-Length:4\r\n" + fine, "fine"},
		"tabs around a value":             {head200 + "X:\ty\t\r\nContent-Length:\t4\t\r\n" + fine, "fine"},
		"no ASCII in a value":             {head200 + "X: \xe9\r\nContent-Length: 4\r\n" + fine, "fine"},
		"folded value":                    {head200 + "X: a\r\n b\r\nContent-Length: 4\r\n" + fine, "fine"},
		"bare line feeds":                 {"HTTP/1.1 200 OK\nContent-Length: 4\n\nfine", "fine"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type result struct {
				Body     string
				Complete bool
			}
			_, body, err := readRaw(t, test.raw)
			if err != nil {
				body = ""
			}
			if diff := cmp.Diff(result{test.body, test.body != ""}, result{body, err == nil}); diff != "" {
				t.Errorf("response (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
