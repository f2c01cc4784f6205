// Package forbidden reads from peers. Lines whose reads have no bound end with "want".
package forbidden

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/gob"
	"encoding/json"
	"encoding/xml"
	"io"
	"io/ioutil"
	"mime/multipart"
	"net"
	"net/http"
	"net/textproto"

	"github.com/barleystep/barleystep/tools/lint/testdata/forbidden/fakeconnect"
)

// maxBytes bounds a body, in bytes.
const maxBytes = 1 << 20

// Bodies reads bodies.
func Bodies(w http.ResponseWriter, r *http.Request, form *multipart.Reader) {
	var buffer bytes.Buffer
	_, _ = io.ReadAll(r.Body)                                         // want
	_, _ = ioutil.ReadAll(r.Body)                                     // want
	_, _ = io.Copy(&buffer, r.Body)                                   // want
	_, _ = io.CopyBuffer(w, r.Body, nil)                              // want
	_, _ = buffer.ReadFrom(r.Body)                                    // want
	_, _ = bufio.NewWriter(w).ReadFrom(r.Body)                        // want
	_ = json.NewDecoder(r.Body).Decode(&struct{}{})                   // want
	_ = xml.NewDecoder(r.Body).Decode(&struct{}{})                    // want
	_ = gob.NewDecoder(r.Body).Decode(&struct{}{})                    // want
	_, _ = csv.NewReader(r.Body).ReadAll()                            // want
	_, _ = form.ReadForm(maxBytes)                                    // want
	_, _ = io.ReadAll(io.LimitReader(r.Body, maxBytes))               // Bounded.
	_, _ = buffer.ReadFrom(http.MaxBytesReader(w, r.Body, 1))         // Bounded.
	_, _ = io.CopyN(&buffer, r.Body, maxBytes)                        // Bounded.
	_ = json.NewDecoder(bytes.NewReader(nil)).Decode(&struct{}{})     // In memory.
	_, _ = io.ReadFull(r.Body, make([]byte, maxBytes))                // Bounded.
	_ = json.NewDecoder(io.LimitReader(r.Body, 1)).Decode(struct{}{}) // Bounded.
}

// Connections reads from connections.
func Connections(c net.Conn) {
	reader := bufio.NewReader(c)
	_, _ = reader.ReadString('\n')                // want
	_, _ = reader.ReadBytes('\n')                 // want
	_, _ = reader.WriteTo(io.Discard)             // want
	_, _ = http.ReadRequest(reader)               // want
	_, _ = http.ReadResponse(reader, nil)         // want
	_, _ = textproto.NewReader(reader).ReadLine() // want
	lines := textproto.NewReader(reader)          // want
	_, _ = lines.ReadMIMEHeader()                 // want
	_, _, _ = reader.ReadLine()                   // Bounded by the reader's size.
	_, _ = reader.Peek(1)                         // Bounded.
}

// connect stands for connect-go.
type connect struct{}

// WithReadMaxBytes stands for the option that bounds messages.
func (connect) WithReadMaxBytes(int) any { return nil }

// Messages makes clients and handlers.
func Messages(connect connect) {
	fakeconnect.NewFakeClient()                             // want
	fakeconnect.NewFakeHandler()                            // want
	fakeconnect.NewFakeClient(connect.WithReadMaxBytes(1))  // Bounded.
	fakeconnect.NewFakeHandler(connect.WithReadMaxBytes(1)) // Bounded.
}
