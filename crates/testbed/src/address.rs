//! Loopback addresses of the laboratory: each process has one of its own, and one under which relays know it, so that
//! whoever is at the other end of a connection or datagram is told by its address. Ports are held before anybody listens
//! at them, and while nobody does.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Second octet from which processes have their addresses, and from which relays stand for them.
const PROCESSES: u8 = 32;
const RELAYS: u8 = 96;
/// The most that each of the two ranges holds.
pub const MOST: usize = 64 * 256;

fn address(first: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number % MOST).to_be_bytes();
    Ipv4Addr::new(127, first + high, low, 1)
}

fn number(first: u8, address: Ipv4Addr) -> Option<usize> {
    let [127, high, low, 1] = address.octets() else { return None };
    let high = high.checked_sub(first).filter(|&high| high < 64)?;
    Some(usize::from(high) << 8 | usize::from(low))
}

/// The address of a process.
#[must_use]
pub fn of_process(number: usize) -> Ipv4Addr {
    address(PROCESSES, number)
}

/// The process that has this address.
#[must_use]
pub fn process_of(address: Ipv4Addr) -> Option<usize> {
    number(PROCESSES, address)
}

/// The address under which relays stand for a process.
#[must_use]
pub fn at_relay(number: usize) -> Ipv4Addr {
    address(RELAYS, number)
}

/// The process for which this address stands.
#[must_use]
pub fn relayed(address: Ipv4Addr) -> Option<usize> {
    number(RELAYS, address)
}

/// An address that is kept for whoever is to listen there: a process that is not started yet, a box that is dead. A
/// socket that is bound and does not listen keeps the kernel from giving the port to another one that asks for any, be
/// it a connection, a relay on all addresses or another laboratory; those that ask for this address and set
/// `SO_REUSEADDR`, as servers do, get it all the same.
#[derive(Debug)]
pub struct Held {
    address: SocketAddr,
    _socket: Socket,
}

impl Held {
    /// Any port of an address.
    ///
    /// # Errors
    /// Where the kernel gives none.
    pub fn new(ip: Ipv4Addr) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, _socket: socket })
    }

    /// The address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests;
