package loopback

import (
	"net"
	"net/netip"
	"os"

	"github.com/gravitational/trace"
)

const (
	// maxBlocks is the number of blocks that can be claimed on one machine at a time.
	maxBlocks = 200
	// firstOctet is the lowest second octet of a block; lower ones are left to other programs, which commonly use them.
	firstOctet = 10
	// guardPort is bound by the process that has claimed a block, as a lock on it.
	guardPort = 8000
)

// Block is the range 127.x.0.0/16 of loopback addresses for one value of x.
type Block struct {
	octet int
	guard net.Listener
}

// Claim reserves a block for this process until Release. It returns an error if all blocks are in use.
func Claim() (*Block, error) {
	var err error
	for i := range maxBlocks {
		b := &Block{octet: firstOctet + (os.Getpid()+i)%maxBlocks}
		if b.guard, err = net.Listen("tcp", b.Address(0, 1, guardPort).String()); err == nil {
			return b, nil
		}
	}
	return nil, trace.ConvertSystemError(err)
}

// Release makes the block available to other processes. It does nothing for a nil block.
func (b *Block) Release() {
	if b != nil {
		_ = b.guard.Close()
	}
}

// Address returns the address 127.x.group.host with the port; group and host are used modulo 256. Ports should be below
// the kernel's range of ephemeral ports, so that no outgoing connection occupies them.
func (b *Block) Address(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(b.octet), byte(group), byte(host)}), port)
}
