// Package answers holds responses of HTTP servers for tests of clients: malformed ones, which are no
// answer to anything, and unusual ones that HTTP allows.
package answers

import (
	"fmt"
	"strings"
)

// Malformed returns responses whose head is not HTTP, by what is wrong with it. A client
// must not take body for the body of an answer.
func Malformed(body string) map[string]string {
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	responses := map[string]string{
		"status of an answer inside one of 000": "HTTP/1.1 000 Oops\r\n\r\nHTTP/1.1 200 OK\r\n" + sized,
	}
	for _, status := range []string{"000", "099", "600", "999", "1000", "20", "+20", "-00", "2x0", ""} {
		responses["status "+status] = "HTTP/1.1 " + status + " Oops\r\n" + sized
	}
	responses["upgrade that was not asked for"] = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + sized
	responses["101 without an upgrade"] = "HTTP/1.1 101 Oops\r\n" + sized
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/11.1", "http/1.1", "HTTP/1"} {
		responses["version "+version] = version + " 200 OK\r\n" + sized
	}
	for what, field := range map[string]string{
		"blank in":              "X A: x",
		"blank behind":          "X-A : x",
		"blank behind that of":  "Content-Length : 5",
		"tab in":                "X\tA: x",
		"tab behind":            "X-A\t: x",
		"control byte in":       "X\x01A: x",
		"zero byte in":          "X\x00A: x",
		"DEL in":                "X-A\x7f: x",
		"carriage return in":    "X\rA: x",
		"separator in":          "X(A): x",
		"byte above ASCII in":   "X-\xe9: x",
		"nothing before colon,": ": x",
		"no colon behind":       "X-A",
	} {
		responses[what+" a field name"] = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + sized
	}
	for what, field := range map[string]string{
		"control byte in a value":    "X-A: x\x01",
		"zero byte in a value":       "X-A: \x00",
		"carriage return in a value": "X-A: x\rX-B: y",
		"other length":               "Content-Length: 1",
		"list of lengths":            "Content-Length: 1, 1",
		"length with a plus sign":    "Content-Length: +1",
		"length with a minus sign":   "Content-Length: -1",
		"hexadecimal length":         "Content-Length: 0x1",
		"empty length":               "Content-Length:",
		"unknown Transfer-Encoding":  "Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding twice":    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		responses[what] = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + sized
	}
	for what, line := range map[string]string{
		"folded field":      " Y: x",
		"folded length":     "\tContent-Length: 5",
		"line with a blank": " ",
	} {
		responses[what] = "HTTP/1.1 200 OK\r\nX-A: x\r\n" + line + "\r\n" + sized
	}
	responses["folded field of 100"] = "HTTP/1.1 100 Continue\r\nX-A: x\r\n y\r\n\r\nHTTP/1.1 200 OK\r\n" + sized
	responses["blank before the first field"] = "HTTP/1.1 200 OK\r\n X-A: x\r\n" + sized
	blank := "X A: x\r\n"
	responses["blank in a field name of 100"] = "HTTP/1.1 100 Continue\r\n" + blank + "\r\nHTTP/1.1 200 OK\r\n" + sized
	responses["blank in a field name behind a long field"] = "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 20_000) + "\r\n" + blank + sized
	responses["blank behind Transfer-Encoding"] = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	responses["Transfer-Encoding of HTTP/1.0"] = fmt.Sprintf("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	responses["blank in the name of a refusal"] = "HTTP/1.1 503 Full\r\n" + blank + sized
	responses["control byte in the reason"] = "HTTP/1.1 200 O\x01K\r\n" + sized
	return responses
}

// IsHidden reports whether net/http leaves no trace of what is wrong with a response of Malformed. Clients
// that keep connections and use it can't tell such a response.
func IsHidden(name string) bool {
	return strings.HasPrefix(name, "folded") || name == "line with a blank" || name == "Transfer-Encoding of HTTP/1.0"
}

// Answer is an unusual response that HTTP allows.
type Answer struct {
	// Response is sent before the server closes the connection.
	Response string
	Status   int
	// Header holds the fields that a client must see.
	Header map[string][]string
	Body   string
}

// Unusual returns responses that HTTP allows, by what is unusual about them.
func Unusual(body string) map[string]Answer {
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	const ok = "HTTP/1.1 200 OK\r\n"
	responses := map[string]Answer{
		"100 before":             {Response: "HTTP/1.1 100 Continue\r\n\r\n" + ok + sized, Status: 200, Body: body},
		"103 before":             {Response: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + sized, Status: 200, Body: body},
		"199 and 102 before":     {Response: "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + ok + sized, Status: 200, Body: body},
		"no reason":              {Response: "HTTP/1.1 200\r\n" + sized, Status: 200, Body: body},
		"empty reason":           {Response: "HTTP/1.1 200 \r\n" + sized, Status: 200, Body: body},
		"long reason":            {Response: "HTTP/1.1 200 sehr sch\xf6n:\tall is well\r\n" + sized, Status: 200, Body: body},
		"204":                    {Response: "HTTP/1.1 204 No Content\r\nEtag: \"a\"\r\n\r\n", Status: 204, Header: map[string][]string{"Etag": {`"a"`}}},
		"205":                    {Response: "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n", Status: 205},
		"304":                    {Response: "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\n\r\n", Status: 304, Header: map[string][]string{"Etag": {`"a"`}}},
		"every token character":  {Response: ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + sized, Status: 200, Header: map[string][]string{"!#$%&'*+-.^_`|~09azaz": {"x"}}, Body: body},
		"blanks around a value":  {Response: ok + "X-A: \t x y \t\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {"x y"}}, Body: body},
		"no blank before one":    {Response: ok + "X-A:x:y\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {"x:y"}}, Body: body},
		"empty value":            {Response: ok + "X-A:\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {""}}, Body: body},
		"bytes above ASCII":      {Response: ok + "X-A: \xe9\xff\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {"\xe9\xff"}}, Body: body},
		"field twice":            {Response: ok + "X-A: 1\r\nX-B: 2\r\nx-a: 3\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {"1", "3"}, "X-B": {"2"}}, Body: body},
		"long head":              {Response: ok + "X-A: " + strings.Repeat("x", 20_000) + "\r\n" + sized, Status: 200, Header: map[string][]string{"X-A": {strings.Repeat("x", 20_000)}}, Body: body},
		"many fields":            {Response: ok + strings.Repeat("X-A: x\r\n", 2_000) + sized, Status: 200, Body: body},
		"bare line feeds":        {Response: fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body), Status: 200, Body: body},
		"equal lengths":          {Response: ok + fmt.Sprintf("Content-Length: %d\r\n", len(body)) + sized, Status: 200, Body: body},
		"no length":              {Response: ok + "\r\n" + body, Status: 200, Body: body},
		"chunks":                 {Response: ok + "transfer-encoding: Chunked\r\n\r\n" + chunked + "\r\n", Status: 200, Body: body},
		"chunks with extensions": {Response: ok + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("00%X;a=\"b\"\r\n%s\r\n000;c\r\n\r\n", len(body), body), Status: 200, Body: body},
		"chunks and a trailer":   {Response: ok + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n" + chunked + "X-A: x\r\n\r\n", Status: 200, Body: body},
		"HTTP/1.0":               {Response: "HTTP/1.0 200 OK\r\n\r\n" + body, Status: 200, Body: body},
		"HTTP/1.0, kept":         {Response: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + sized, Status: 200, Body: body},
		"HTTP/1.2":               {Response: "HTTP/1.2 200 OK\r\n" + sized, Status: 200, Body: body},
	}
	for _, status := range []int{203, 226, 299, 302, 399, 404, 418, 451, 499, 500, 511, 599} {
		responses[fmt.Sprintf("status %d", status)] = Answer{Response: fmt.Sprintf("HTTP/1.1 %d X\r\n", status) + sized, Status: status, Body: body}
	}
	return responses
}
