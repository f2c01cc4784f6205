package conn

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// IsFinalStatus reports whether a status ends an exchange. HTTP has none below 100 or above 599, though
// net/http reads those of three digits; those below 200 are interim.
func IsFinalStatus(status int) bool {
	const end = 600
	return status >= http.StatusOK && status < end
}

// isInterim reports whether another answer follows a head. A switch of protocols, which nobody has asked
// for, is not followed by one, and interim answers have no body that could pass for it.
func isInterim(resp *http.Response) bool {
	isStatus := resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
	return isStatus && !announcesBody(resp)
}

// WithInterimCheck returns a context in which http.Client fails when an interim answer announces a body, which
// it would read as the next answer.
func WithInterimCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: checkInterim})
}

func checkInterim(_ int, header textproto.MIMEHeader) error {
	if hasLength(header.Get("Content-Length")) || header.Get("Transfer-Encoding") != "" {
		return errMalformed
	}
	return nil
}

// announcesBody reports whether the head of an answer says that a body follows.
func announcesBody(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 || hasLength(resp.Header.Get("Content-Length"))
}

func hasLength(length string) bool { return length != "" && length != "0" }

// hasHiddenBody reports whether the head of an answer says that a body follows which net/http does not read,
// because of the status or the method of the request. If the answer is to another request, nobody knows
// whether it does.
func hasHiddenBody(resp *http.Response) bool {
	return resp.Body == http.NoBody && announcesBody(resp)
}
