//! Loopback addresses of the fleet's processes. Each process has one of its own and one under which relays
//! represent it, so that the other end of a connection or datagram is identified by its address. Ports are
//! reserved before and while no process listens on them.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// The second octet of the first process's address.
const FIRST_PROCESS_OCTET: u8 = 32;
/// The second octet of the address under which relays represent the first process.
const FIRST_RELAY_OCTET: u8 = 96;
/// How many second octets each of the two ranges has.
const OCTETS: u8 = 64;
/// The size of each of the two ranges.
pub const MAX_PROCESSES: usize = OCTETS as usize * 256;

fn address(first: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number % MAX_PROCESSES).to_be_bytes();
    Ipv4Addr::new(127, first + high, low, 1)
}

fn number(first: u8, address: Ipv4Addr) -> Option<usize> {
    let [127, high, low, 1] = address.octets() else { return None };
    let high = high.checked_sub(first).filter(|&high| high < OCTETS)?;
    Some(usize::from(high) << 8 | usize::from(low))
}

/// The address of a process.
#[must_use]
pub fn process_address(number: usize) -> Ipv4Addr {
    address(FIRST_PROCESS_OCTET, number)
}

/// The process with this address, if it is that of one.
#[must_use]
pub fn process_with(address: Ipv4Addr) -> Option<usize> {
    number(FIRST_PROCESS_OCTET, address)
}

/// The address under which relays represent a process.
#[must_use]
pub fn relay_address(number: usize) -> Ipv4Addr {
    address(FIRST_RELAY_OCTET, number)
}

/// The process that relays represent under this address, if it is such an address.
#[must_use]
pub fn process_behind_relay(address: Ipv4Addr) -> Option<usize> {
    number(FIRST_RELAY_OCTET, address)
}

/// A port that is reserved for a process that is not started yet or has ended. A bound socket that does not
/// listen keeps the kernel from giving the port to a connection or to a listener that asks for any port; one
/// that asks for this address and sets `SO_REUSEADDR`, as servers do, still gets it.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves any port of an address.
    ///
    /// # Errors
    /// Where the kernel has none.
    pub fn new(ip: Ipv4Addr) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, _socket: socket })
    }

    /// The address with the port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests;
