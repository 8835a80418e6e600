//! Starts a program that ends with its parent, under given limits. An intermediate process sets the parent-death signal and
//! then executes the program, so that it also ends after a panic, Ctrl-C or SIGKILL of the testbed. The parent is the thread
//! that spawns it.

use nix::sys::prctl::set_pdeathsig;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;
use nix::unistd::{Pid, getppid};
use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// The command that runs `program` through `keeper`, this crate's binary, with this limit of file descriptors. The thread
/// that spawns it has to live as long as the program.
#[must_use]
pub fn command(keeper: &Path, descriptors: u64, program: &Path) -> Command {
    let mut command = Command::new(keeper);
    command.arg("keep").arg(std::process::id().to_string()).arg(descriptors.to_string()).arg(program);
    command
}

/// Replaces this process by the program; returns only the error.
///
/// # Errors
/// Where no program is named, `parent` is gone, a limit can't be set or the program can't be executed.
#[must_use]
pub fn become_program(parent: i32, descriptors: u64, command: &[OsString]) -> io::Error {
    let Some((program, arguments)) = command.split_first() else {
        return io::Error::new(io::ErrorKind::InvalidInput, "no program is named");
    };
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // The parent may have died before the signal was set.
    if getppid() != Pid::from_raw(parent) {
        return io::Error::new(io::ErrorKind::NotFound, "whoever started this is gone");
    }
    if let Err(error) = setrlimit(Resource::RLIMIT_NOFILE, descriptors, descriptors) {
        return error.into();
    }
    Command::new(program).args(arguments).exec()
}

/// Raises this process's limit of file descriptors to the hard limit and returns it: the emulators hold a connection for
/// each link.
///
/// # Errors
/// Where the kernel refuses.
pub fn all_descriptors() -> io::Result<u64> {
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit)?;
    Ok(hard_limit)
}
