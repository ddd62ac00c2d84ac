package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

const (
	// maxHeads bounds in bytes the heads of all answers that come for one request: informational ones, those to other
	// requests, and the own one.
	maxHeads = 64 << 10

	// maxStrays bounds the answers to other requests that are passed over before the own one.
	maxStrays = 3

	// longBody is the size in bytes from which a body is written while the answer is awaited: a target may answer before
	// it has read all of it.
	longBody = 16 << 10

	// finishPart is the part of the time left at the first byte of an answer within which the answer must be whole if its
	// request could be sent again.
	finishPart = 0.5
)

// ErrUnfinished means that an answer began and did not end while there was time to ask another target.
var ErrUnfinished = errors.New("answer did not end in time")

var (
	errTooManyStrays = errors.New("answers of other requests came first")
	errUnsigned      = errors.New("success without a signature of the target")
	errAnswerSize    = errors.New("answer is too long")
	errNoID          = errors.New("answer without an id on a connection that served other requests")
)

// exchange is one request on a connection and its answer.
type exchange struct {
	wire   *wire
	call   *Call
	names  steer.HeaderNames
	strays metrics.Counter
	held   *hold
	heads  int64 // Bytes that heads may still have.
}

// run writes the request and reads its answer.
func (x *exchange) run(ctx context.Context) Result {
	w, call := x.wire, x.call
	w.clean = false
	written := make(chan error, 1)
	head := x.head()
	if len(call.Body) > longBody {
		go func() {
			_, err := (&net.Buffers{head, call.Body}).WriteTo(w.socket)
			written <- err
		}()
	} else {
		n, err := w.socket.Write(append(head, call.Body...))
		if err != nil {
			return unwritten(n, err)
		}
		written <- nil
	}
	result := x.answer(ctx)
	result.Sent = true
	w.served = true
	if w.clean {
		select {
		case err := <-written:
			w.clean = err == nil
		default:
			w.clean = false // The rest of the body would be read as the next request.
		}
	}
	return result
}

// unwritten is the result of a failed write of which n bytes were accepted. With none the target has seen nothing.
func unwritten(n int, err error) Result {
	result := failed(fmt.Errorf("write request: %w", err))
	result.Sent = n > 0
	if n == 0 {
		result.Verdict = steer.NotRun
	}
	return result
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Expect":            true,
	"Content-Length":    true,
}

// IsHopByHop reports whether a header, in canonical form, concerns only one connection. Content-Length is among them because it
// is written anew.
func IsHopByHop(name string) bool { return hopHeaders[name] }

func (x *exchange) head() []byte {
	call, names := x.call, x.names
	b := make([]byte, 0, 512+len(call.Body))
	add := func(parts ...string) {
		for _, part := range parts {
			b = append(b, part...)
		}
	}
	add(call.Method, " ", call.Target, " HTTP/1.1\r\nHost: ", call.Host, "\r\n")
	for name, values := range call.Header {
		for _, value := range values {
			add(name, ": ", value, "\r\n")
		}
	}
	left := max(time.Until(call.Deadline).Milliseconds(), 1)
	add(names.RequestID, ": ", call.RequestID, "\r\n")
	add(names.Deadline, ": ", strconv.FormatInt(left, 10), "\r\n")
	add(names.ExpectedTarget, ": ", call.Endpoint.ID, "\r\n")
	if call.HasBody || len(call.Body) > 0 {
		add("Content-Length: ", strconv.Itoa(len(call.Body)), "\r\n")
	}
	add("\r\n")
	return b
}

// answer reads the answer. If the request could be sent again, an answer that does not end is given up early.
func (x *exchange) answer(ctx context.Context) Result {
	w := x.wire
	w.meter.SetLimit(maxHeads)
	defer w.meter.RemoveLimit()
	x.heads = maxHeads
	if _, err := w.reader.Peek(1); err != nil {
		return failed(fmt.Errorf("read answer: %w", err))
	}
	if !x.call.Retryable {
		return x.read(ctx)
	}
	var late atomic.Bool
	left := time.Duration(finishPart * float64(time.Until(x.call.Deadline)))
	timer := time.AfterFunc(left, func() {
		late.Store(true)
		w.interrupt()
	})
	result := x.read(ctx)
	if !timer.Stop() {
		w.clean = false // Its deadline has passed.
	}
	if result.Err != nil && late.Load() {
		result.Err = fmt.Errorf("%w: %v", ErrUnfinished, result.Err)
	}
	return result
}

// read reads the answer to the call, passing over informational answers and those to other requests.
func (x *exchange) read(ctx context.Context) Result {
	request := &http.Request{
		Method: x.call.Method,
	}
	strays := 0
	for {
		response, err := x.readHead(request)
		if err != nil {
			return failed(fmt.Errorf("read answer: %w", err))
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := x.readBody(ctx, response)
		if err != nil {
			return failed(fmt.Errorf("read body of answer: %w", err))
		}
		id := response.Header.Get(x.names.RequestID)
		switch {
		case id == "" && x.wire.served:
			return failed(errNoID)
		case id != "" && id != x.call.RequestID:
			x.strays.Inc(1)
			if strays++; strays > maxStrays {
				return failed(errTooManyStrays)
			}
		default:
			return x.judge(response, body)
		}
	}
}

// readHead reads a head within what all heads may have. Bytes of a body that are read along with it count.
func (x *exchange) readHead(request *http.Request) (*http.Response, error) {
	w := x.wire
	w.meter.SetLimit(x.heads)
	before := w.meter.BytesRead()
	response, err := http.ReadResponse(w.reader, request)
	x.heads -= w.meter.BytesRead() - before
	w.meter.RemoveLimit()
	return response, err
}

// readBody reads a body whole, within the memory that is held for it.
func (x *exchange) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 {
		if length > x.held.room.most {
			return nil, errAnswerSize
		}
		if err := x.held.extend(ctx, length); err != nil {
			return nil, err
		}
		return x.readAll(response.Body, length)
	}
	first := min(x.held.sent, maxUndeclared)
	body, err := x.readAll(response.Body, first)
	if err != nil || int64(len(body)) < first {
		return body, err
	}
	if err := x.held.extend(ctx, maxUndeclared); err != nil {
		return nil, err
	}
	rest, err := x.readAll(response.Body, maxUndeclared-first+1)
	if int64(len(body)+len(rest)) > maxUndeclared {
		return nil, errAnswerSize
	}
	return append(body, rest...), err
}

// bodyBuffer is the size in bytes of the buffer for the beginning of a body, which grows as the body comes.
const bodyBuffer = 32 << 10

// readAll reads a body up to a length in bytes.
func (x *exchange) readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(int(min(length, bodyBuffer)) + bytes.MinRead)
	_, err := buffer.ReadFrom(io.LimitReader(body, length))
	return buffer.Bytes(), err
}

func failed(err error) Result {
	return Result{
		Verdict: steer.MayHaveRun,
		Err:     err,
	}
}

// judge says what an answer means.
func (x *exchange) judge(response *http.Response, body []byte) Result {
	w, names := x.wire, x.names
	header := response.Header
	result := Result{
		Verdict: steer.Ran,
		Status:  response.StatusCode,
		Reason:  strings.TrimSpace(strings.TrimPrefix(response.Status, strconv.Itoa(response.StatusCode))),
		Header:  header,
		Body:    body,
		Signed:  header.Get(names.Signature) != "",
		Load:    parseLoad(header.Get(names.Load)),
		Closing: response.Close,
	}
	w.keep = parseKeep(header.Get("Keep-Alive"))
	w.clean = !response.Close && response.ContentLength >= 0 || isChunked(response) && !response.Close
	w.clean = w.clean && w.reader.Buffered() == 0 && w.keep > 0
	x.held.answered(len(body))
	switch {
	case response.StatusCode == names.MisdirectedStatus:
		result.Verdict = steer.NotRun
		result.Gone = header.Get(names.TargetID) != x.call.Endpoint.ID
	case header.Get(names.NotRun) != "":
		result.Verdict = steer.NotRun
	case response.StatusCode < http.StatusMultipleChoices && !result.Signed:
		return failed(errUnsigned)
	}
	return result
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}
