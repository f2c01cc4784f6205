package conn

import "net/http"

// IsUnframed reports whether the end of an answer's body is that of its connection: it has neither a
// length nor chunks. Such an end tells less than the others, since the system closes the connections of
// a process that has ended in good order too.
func IsUnframed(resp *http.Response) bool {
	isHead := resp.Request != nil && resp.Request.Method == http.MethodHead
	return resp.ProtoMajor < 2 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !isHead
}
