package loopback

import (
	"net"
	"net/netip"
	"os"

	"github.com/gravitational/trace"
)

// octets is how many blocks one machine can hold at once.
const octets = 200

// firstOctet leaves the addresses that other programs use by habit.
const firstOctet = 10

// Block is a part of the loopback network: all addresses with one second byte.
type Block struct {
	octet int
}

// Claim finds a block that no other site uses, by listening at one address that every site of the kind listens at.
func Claim(group, host int, port uint16) (Block, error) {
	var err error
	for i := range octets {
		b := Block{octet: firstOctet + (os.Getpid()+i)%octets}
		var l net.Listener
		if l, err = net.Listen("tcp", b.Address(group, host, port).String()); err == nil {
			return b, trace.ConvertSystemError(l.Close())
		}
	}
	return Block{}, trace.ConvertSystemError(err)
}

// Address is an address of the block. Ports should be below the range from which the kernel takes those of outgoing
// connections.
func (b Block) Address(group, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(b.octet), byte(group), byte(host)}), port)
}
