//! Loopback addresses of the laboratory: each process has one of its own, and one under which relays know it, so that
//! whoever is at the other end of a connection or datagram is told by its address.

use std::net::Ipv4Addr;

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_process_has_two_addresses_that_name_it_and_nobody_else() {
        for process in [0, 1, 255, 256, 1_999, MOST - 1] {
            assert_eq!(process_of(of_process(process)), Some(process));
            assert_eq!(relayed(at_relay(process)), Some(process));
            assert_eq!((process_of(at_relay(process)), relayed(of_process(process))), (None, None));
            assert!(of_process(process).is_loopback() && at_relay(process).is_loopback());
        }
        assert_eq!(process_of(Ipv4Addr::new(127, 0, 0, 1)), None);
        assert_eq!(process_of(Ipv4Addr::new(10, 32, 0, 1)), None);
    }
}
