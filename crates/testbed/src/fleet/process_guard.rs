//! Starts a program that ends with whoever started it, under the limits that it is told. A process of its own stands
//! between: it asks the kernel for a signal at its parent's death and becomes the program (`exec`), so that the rule holds
//! also after a panic, Ctrl-C or SIGKILL of the laboratory. The parent is the thread that starts it.

use nix::sys::prctl::set_pdeathsig;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;
use nix::unistd::{Pid, getppid};
use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// The command that has `keeper`, this crate's program, become `program` under so many descriptors. Its parent is the
/// thread that spawns it, which has to live as long as the program is to.
#[must_use]
pub fn command(keeper: &Path, descriptors: u64, program: &Path) -> Command {
    let mut command = Command::new(keeper);
    command.arg("keep").arg(std::process::id().to_string()).arg(descriptors.to_string()).arg(program);
    command
}

/// Becomes the program. Returns only where that fails.
#[must_use]
pub fn become_program(parent: i32, descriptors: u64, command: &[OsString]) -> io::Error {
    let Some((program, arguments)) = command.split_first() else {
        return io::Error::new(io::ErrorKind::InvalidInput, "no program is named");
    };
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // The parent may have died before the kernel was asked.
    if getppid() != Pid::from_raw(parent) {
        return io::Error::new(io::ErrorKind::NotFound, "whoever started this is gone");
    }
    if let Err(error) = setrlimit(Resource::RLIMIT_NOFILE, descriptors, descriptors) {
        return error.into();
    }
    Command::new(program).args(arguments).exec()
}

/// Lets this process have as many descriptors as it may: a day's stand-ins hold a connection for each link.
///
/// # Errors
/// Where the kernel refuses.
pub fn all_descriptors() -> io::Result<u64> {
    let (_, most) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, most, most)?;
    Ok(most)
}
