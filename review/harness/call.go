package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
}

// call sends a request on a new connection and reads its answer. headers are whole lines.
func call(address, method, target, hostName, id string, timeout time.Duration, headers ...string) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, hostName, id, timeout.Milliseconds())
	for _, line := range headers {
		text += line + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
		return answer{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("Origin-Seal"), body: string(body)}, err
}
