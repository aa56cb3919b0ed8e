package standin

import (
	"io"
	"net"
	"time"
)

// The network brings what a node sends in pieces of pieceBytes, one each pieceEvery.
const (
	pieceBytes = 16
	pieceEvery = 3 * time.Millisecond
)

// InPieces starts a proxy before an address that passes on what comes from there in pieces, and returns the proxy's address. Nothing is lost,
// changed or put in another order.
func (r *Run) InPieces(address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			go func() {
				io.Copy(far, near)
				far.Close()
			}()
			go func() {
				passInPieces(near, far)
				near.Close()
			}()
		}
	}()
	return listener.Addr().String(), nil
}

func passInPieces(to io.Writer, from io.Reader) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
			time.Sleep(pieceEvery)
		}
		if err != nil {
			return
		}
	}
}
