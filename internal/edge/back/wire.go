package back

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"monsoonhub.example/steer"
)

const (
	// maxAnswer bounds the body of an answer in bytes; it is held in memory until it is whole.
	maxAnswer = 32 << 20

	// maxStrays bounds the answers to other requests that are passed over before the own one.
	maxStrays = 3

	// longBody is the size in bytes from which a body is written while the answer is awaited: a target may answer before
	// it has read all of it.
	longBody = 16 << 10
)

var (
	errTooManyStrays = errors.New("answers of other requests came first")
	errUnsigned      = errors.New("success without a signature of the target")
	errAnswerSize    = errors.New("answer is too long")
)

// wire is one connection to a target.
type wire struct {
	socket  net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	keep    time.Duration // Time for which it may be idle.
	rested  time.Time     // Since when it is idle.
	until   time.Time     // End of that time.
	clean   bool          // The last exchange is over and the connection may serve another.
}

func newWire(socket net.Conn, address netip.AddrPort) *wire {
	return &wire{
		socket:  socket,
		reader:  bufio.NewReaderSize(socket, 4<<10),
		address: address,
	}
}

func setUnackedLimit(_, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(control, err)
}

func (w *wire) close() { _ = w.socket.Close() } // The connection is of no use any more.

// interrupt makes the exchange in progress fail.
func (w *wire) interrupt() { _ = w.socket.SetDeadline(time.Unix(1, 0)) }

// quiet reports whether the connection is open and holds no bytes, which would belong to no request.
func (w *wire) quiet() bool {
	if w.reader.Buffered() > 0 {
		return false
	}
	raw, ok := w.socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), one[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// exchange writes a request and reads its answer.
func (w *wire) exchange(call *Call, names steer.HeaderNames, strays metrics.Counter) Result {
	w.clean = false
	written := make(chan error, 1)
	head := w.head(call, names)
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
	result := w.read(call, names, strays)
	result.Sent = true
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

// Hop reports whether a header, in canonical form, concerns only one connection. Content-Length is among them because it
// is written anew.
func Hop(name string) bool { return hopHeaders[name] }

func (w *wire) head(call *Call, names steer.HeaderNames) []byte {
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
	add(names.Expected, ": ", call.Endpoint.ID, "\r\n")
	if call.HasBody || len(call.Body) > 0 {
		add("Content-Length: ", strconv.Itoa(len(call.Body)), "\r\n")
	}
	add("\r\n")
	return b
}

// read reads the answer to the call, passing over answers to other requests.
func (w *wire) read(call *Call, names steer.HeaderNames, strays metrics.Counter) Result {
	request := &http.Request{
		Method: call.Method,
	}
	for range maxStrays + 1 {
		response, err := http.ReadResponse(w.reader, request)
		if err != nil {
			return failed(fmt.Errorf("read answer: %w", err))
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
		if err != nil {
			return failed(fmt.Errorf("read body of answer: %w", err))
		}
		if len(body) > maxAnswer {
			return failed(errAnswerSize)
		}
		if id := response.Header.Get(names.RequestID); id != "" && id != call.RequestID {
			strays.Inc(1)
			continue
		}
		return w.judge(call, names, response, body)
	}
	return failed(errTooManyStrays)
}

func failed(err error) Result {
	return Result{
		Verdict: steer.MayHaveRun,
		Err:     err,
	}
}

// judge says what an answer means.
func (w *wire) judge(call *Call, names steer.HeaderNames, response *http.Response, body []byte) Result {
	header := response.Header
	result := Result{
		Verdict: steer.Ran,
		Status:  response.StatusCode,
		Reason:  strings.TrimSpace(strings.TrimPrefix(response.Status, strconv.Itoa(response.StatusCode))),
		Header:  header,
		Body:    body,
		Signed:  header.Get(names.Signature) != "",
		Load:    parseLoad(header.Get(names.Load)),
		Leaving: response.Close,
	}
	w.keep = parseKeep(header.Get("Keep-Alive"))
	w.clean = !response.Close && response.ContentLength >= 0 || isChunked(response) && !response.Close
	w.clean = w.clean && w.reader.Buffered() == 0 && w.keep > 0
	switch {
	case response.StatusCode == names.Misdirected:
		result.Verdict = steer.NotRun
		result.Gone = header.Get(names.TargetID) != call.Endpoint.ID
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
