//! Loopback addresses of the processes of an emulated fleet. Each process has its own address, and another
//! one under which relays represent it, so that the other end of a connection or datagram can be identified
//! by its address. Ports are reserved while no process listens on them.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// The second octet of the first process's address.
const FIRST_PROCESS_OCTET: u8 = 32;
/// The second octet of the address under which relays represent the first process.
const FIRST_RELAY_OCTET: u8 = 96;
/// Number of second octets in each of the two ranges.
const OCTETS_PER_RANGE: u8 = 64;
/// Number of processes that have unique addresses.
pub const MAX_PROCESSES: usize = OCTETS_PER_RANGE as usize * 256;

fn address_in_range(first_octet: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number % MAX_PROCESSES).to_be_bytes();
    Ipv4Addr::new(127, first_octet + high, low, 1)
}

fn number_in_range(first_octet: u8, address: Ipv4Addr) -> Option<usize> {
    let [127, high, low, 1] = address.octets() else { return None };
    let high = high.checked_sub(first_octet).filter(|&high| high < OCTETS_PER_RANGE)?;
    Some(usize::from(high) << 8 | usize::from(low))
}

/// The address of the process with this number; numbers from [`MAX_PROCESSES`] wrap around.
#[must_use]
pub fn process_address(number: usize) -> Ipv4Addr {
    address_in_range(FIRST_PROCESS_OCTET, number)
}

/// The number of the process with this address; `None` where it is not the address of a process.
#[must_use]
pub fn process_at_address(address: Ipv4Addr) -> Option<usize> {
    number_in_range(FIRST_PROCESS_OCTET, address)
}

/// The address under which relays represent the process with this number; numbers from [`MAX_PROCESSES`] wrap
/// around.
#[must_use]
pub fn relay_address(number: usize) -> Ipv4Addr {
    address_in_range(FIRST_RELAY_OCTET, number)
}

/// The number of the process that relays represent under this address; `None` where it is not such an
/// address.
#[must_use]
pub fn process_behind_relay(address: Ipv4Addr) -> Option<usize> {
    number_in_range(FIRST_RELAY_OCTET, address)
}

/// A port that is reserved for a process that has not started yet, or has ended. The kernel does not assign
/// the port of a bound socket that does not listen to a connection or to a listener on any port. A process
/// that listens on exactly this address, with `SO_REUSEADDR` as servers usually do, still gets it.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves any port of an address.
    ///
    /// # Errors
    /// Where the kernel has no free port, or the address cannot be bound.
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
