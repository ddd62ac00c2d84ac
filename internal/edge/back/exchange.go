package back

import (
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
	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/edge/meter"
)

const (
	// maxHeadBytes bounds the total size of the heads that arrive for one request: those of informational answers, of answers
	// to other requests and of its own answer.
	maxHeadBytes = 64 << 10

	// maxStrayAnswers bounds the answers to other requests that are skipped before the own answer.
	maxStrayAnswers = 3

	// maxInformationalAnswers bounds the informational answers to one request, so that many short ones do not hold it up. Answers
	// with heads of more than 1 KB reach maxHeadBytes first.
	maxInformationalAnswers = 64

	// largeBody is the size in bytes above which a request body is written concurrently with reading the answer, since a
	// target may answer before it has read the whole body.
	largeBody = 16 << 10

	// finishFraction is the fraction of the time left at the first byte of an answer within which the answer must be complete
	// if its request can be retried.
	finishFraction = 0.5

	// maxFollowWait is how long bytes are awaited that follow a body which may be part of several answers. Segments of one write
	// arrive one right after the other, and one in 256 bodies of random bytes is waited for.
	maxFollowWait = 5 * time.Millisecond
)

// ErrUnfinished means that an answer began but was not complete in time to try another target.
var ErrUnfinished = errors.New("answer did not end in time")

var (
	errTooManyStrayAnswers  = errors.New("answers of other requests came first")
	errTooManyInformational = errors.New("too many informational answers")
	errUnsigned             = errors.New("success without a signature of the target")
	errAnswerTooLarge       = errors.New("answer is too long")
	errNoID                 = fmt.Errorf("%w: it has no id of a request", answer.ErrNotOne)
	errContradiction        = fmt.Errorf("%w: it says that a request has run and has not run", answer.ErrNotOne)
	errIncompleteRefusal    = fmt.Errorf("%w: its refusal may have been broken off", answer.ErrNotOne)
	errUpgrade              = errors.New("target switched protocols")
)

// exchange is one request and its answer on a connection.
type exchange struct {
	conn          *conn
	call          *Call
	names         steer.HeaderNames
	strayAnswers  metrics.Counter
	brokenAnswers metrics.Counter
	ownHeaders    []string // Headers that only answers of targets have.
	singleHeaders []string // Headers that one answer has once at most.
	reserved      *reservation
	headBytesLeft int64 // Bytes of heads that may still be read.
	answerBegun   bool  // At least one byte has arrived.
}

// run writes the request and reads its answer.
func (x *exchange) run(ctx context.Context) Result {
	c, call := x.conn, x.call
	c.reusable = false
	c.recordID(call.RequestID)
	written := make(chan error, 1)
	head := x.head()
	if len(call.Body) > largeBody {
		go func() {
			n, err := (&net.Buffers{head, call.Body}).WriteTo(c.socket)
			c.traffic.AddSent(n)
			written <- err
		}()
	} else {
		n, err := c.socket.Write(append(head, call.Body...))
		c.traffic.AddSent(int64(n))
		if err != nil {
			return writeFailed(n, err)
		}
		written <- nil
	}
	result := x.awaitAnswer(ctx)
	result.Sent = true
	if errors.Is(result.Err, answer.ErrNotOne) {
		x.brokenAnswers.Inc(1)
	}
	c.served = true
	if c.reusable {
		select {
		case err := <-written:
			c.reusable = err == nil
		default:
			c.reusable = false // The target would read the rest of the body as the next request.
		}
	}
	return result
}

// writeFailed returns the result of a failed write of which n bytes were accepted. If n is 0, nothing reached the target.
func writeFailed(n int, err error) Result {
	result := failed(fmt.Errorf("write request: %w", err))
	result.Sent = n > 0
	if n == 0 {
		result.Verdict = steer.NotRun
	}
	return result
}

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = map[string]bool{
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

// IsHopByHop reports whether a header, in canonical form, concerns only one connection and must not be forwarded.
// Content-Length is one of them because it is set again for every request and answer.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }

// head returns the request line and the headers of the call.
func (x *exchange) head() []byte {
	call, names := x.call, x.names
	size := 512
	if len(call.Body) <= largeBody {
		size += len(call.Body) // The body is appended.
	}
	b := make([]byte, 0, size)
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

// awaitAnswer waits for the answer and reads it. If the request can be retried, it gives up a slow answer early.
func (x *exchange) awaitAnswer(ctx context.Context) Result {
	c := x.conn
	c.meter.SetLimit(maxHeadBytes)
	defer c.meter.RemoveLimit()
	x.headBytesLeft = maxHeadBytes
	if _, err := c.reader.Peek(1); err != nil {
		result := failed(fmt.Errorf("read answer: %w", err))
		result.Broke = ctx.Err() == nil && closedByPeer(err)
		return result
	}
	x.answerBegun = true
	if !x.call.Retryable {
		return x.readAnswer(ctx)
	}
	var late atomic.Bool
	left := time.Duration(finishFraction * float64(time.Until(x.call.Deadline)))
	timer := time.AfterFunc(left, func() {
		late.Store(true)
		c.interrupt()
	})
	result := x.readAnswer(ctx)
	if !timer.Stop() {
		c.reusable = false // The timer has set a deadline in the past on the socket.
	}
	if result.Err != nil && late.Load() {
		result.Err = fmt.Errorf("%w: %v", ErrUnfinished, result.Err)
	}
	return result
}

// readAnswer reads the answer to the call. It skips informational answers and answers to other requests. It concludes nothing
// from bytes that may be anything else than one answer to this request.
func (x *exchange) readAnswer(ctx context.Context) Result {
	request := &http.Request{
		Method: x.call.Method,
	}
	strayAnswers, informational := 0, 0
	for {
		response, err := x.readHead(request)
		if err != nil {
			return failed(fmt.Errorf("read answer: %w", err))
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return failed(errUpgrade)
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformationalAnswers {
				return failed(errTooManyInformational)
			}
			continue
		}
		body, err := x.readBody(ctx, response)
		if err != nil {
			return failed(fmt.Errorf("read body of answer: %w", err))
		}
		if err := answer.CheckBody(body, x.awaitFollowing(response, body), x.ownHeaders...); err != nil {
			return failed(err)
		}
		switch id := response.Header.Get(x.names.RequestID); {
		case id == "" && (x.call.RequestID != "" || x.conn.served):
			return failed(errNoID)
		case id != x.call.RequestID:
			x.strayAnswers.Inc(1)
			if strayAnswers++; strayAnswers > maxStrayAnswers {
				return failed(errTooManyStrayAnswers)
			}
		default:
			result := x.classify(response, body)
			x.conn.reusable = x.conn.reusable && strayAnswers == 0
			return result
		}
	}
}

// awaitFollowing returns what follows a body. It waits only if the body may be part of several answers.
func (x *exchange) awaitFollowing(response *http.Response, body []byte) answer.Following {
	c := x.conn
	closed := false
	if c.reader.Buffered() == 0 && answer.IsDoubtful(body, x.ownHeaders...) {
		closed = c.awaitMore(maxFollowWait)
	}
	rest, _ := c.reader.Peek(c.reader.Buffered()) // Never fails for what is buffered.
	return answer.Following{
		Bytes:  rest,
		Closed: closed && !response.Close,
	}
}

// readHead reads a head, within the limit for all heads. Bytes of the body that are buffered along with it count too.
func (x *exchange) readHead(request *http.Request) (*http.Response, error) {
	c := x.conn
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // Never fails for what is buffered.
	if err := c.socket.ExpectHead(buffered); err != nil {
		return nil, err
	}
	c.meter.SetLimit(x.headBytesLeft)
	before := c.meter.BytesRead()
	response, err := http.ReadResponse(c.reader, request)
	x.headBytesLeft -= c.meter.BytesRead() - before
	c.meter.RemoveLimit()
	if err != nil {
		return nil, err
	}
	return response, answer.CheckHead(response, x.singleHeaders...)
}

// readBody reads a whole body, within the memory that is reserved for it. Each buffer is allocated once in the reserved size,
// since a buffer that grows leaves copies that no reservation covers.
func (x *exchange) readBody(ctx context.Context, response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 {
		if length > x.reserved.memoryBudget.maxBody {
			return nil, errAnswerTooLarge
		}
		if err := x.reserved.grow(ctx, length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return x.readBodyWithoutLength(ctx, response.Body)
}

// readBodyWithoutLength reads a body of at most maxBodyWithoutLength bytes.
func (x *exchange) readBodyWithoutLength(ctx context.Context, body io.Reader) ([]byte, error) {
	first := make([]byte, min(x.reserved.upfront, maxBodyWithoutLength))
	n, err := meter.ReadUpTo(body, first)
	if err != nil || n < len(first) {
		return first[:n], err
	}
	if err := x.reserved.grow(ctx, maxBodyWithoutLength); err != nil {
		return nil, err
	}
	budget := x.reserved.memoryBudget
	whole := budget.takeBuffer()
	copy(whole, first)
	rest, err := meter.ReadUpTo(body, whole[n:])
	if n += rest; err == nil && n > maxBodyWithoutLength {
		err = errAnswerTooLarge
	}
	if err != nil {
		budget.returnBuffer(whole)
		return nil, err
	}
	return whole[:n], nil
}

func failed(err error) Result {
	return Result{
		Verdict: steer.MayHaveRun,
		Err:     err,
	}
}

// classify derives the result of the call from its answer, and whether the connection can be reused.
func (x *exchange) classify(response *http.Response, body []byte) Result {
	c, names := x.conn, x.names
	header := response.Header
	result := Result{
		Verdict: steer.Ran,
		Status:  response.StatusCode,
		Reason:  strings.TrimSpace(strings.TrimPrefix(response.Status, strconv.Itoa(response.StatusCode))),
		Header:  header,
		Body:    body,
		Signed:  header.Get(names.Signature) != "",
		Load:    parseLoad(header.Get(names.Load)),
		Limit:   parseLimit(header.Values(names.Limit)),
		Closing: response.Close,
	}
	c.keep = parseKeepAlive(header.Get("Keep-Alive"))
	c.reusable = !response.Close && response.ContentLength >= 0 || isChunked(response) && !response.Close
	c.reusable = c.reusable && c.reader.Buffered() == 0 && c.keep > 0
	x.reserved.recordLength(len(body))
	misdirected := response.StatusCode == names.MisdirectedStatus
	notRun := misdirected || header.Get(names.NotRun) != ""
	switch {
	case notRun && (result.Signed || response.StatusCode < http.StatusBadRequest):
		c.reusable = false
		return failed(errContradiction)
	case notRun && (response.ContentLength < 0 && !isChunked(response) || !isTrue(header.Get(names.NotRun), misdirected)):
		c.reusable = false
		return failed(errIncompleteRefusal)
	case notRun:
		result.Verdict = steer.NotRun
		if id := header.Get(names.TargetID); misdirected && id != "" && id != x.call.Endpoint.ID {
			result.Gone = true
			result.Limit = nil // It is the limit of the target that has the address now.
		}
	case response.StatusCode < http.StatusMultipleChoices && !result.Signed:
		c.reusable = false
		return failed(errUnsigned)
	case !result.Signed && result.Limit != nil && !result.Limit.Limited:
		result.Limit = nil // The target may not have produced the answer, so the missing header says nothing.
	}
	return result
}

// isTrue reports whether the value of a header is true, or is missing and may be.
func isTrue(value string, optional bool) bool {
	return value == "1" || value == "true" || value == "" && optional
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}
