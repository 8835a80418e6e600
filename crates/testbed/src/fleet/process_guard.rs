//! Starts a program that is killed when its parent ends, with a limit on file descriptors. An intermediate
//! process sets the parent-death signal and then executes the program, so that the program also ends after a
//! panic, Ctrl-C or SIGKILL of the testbed. For the kernel, the parent is the thread that spawns the process.

use nix::sys::prctl::set_pdeathsig;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;
use nix::unistd::{Pid, getppid};
use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

/// The command that runs `program` through `guard`, the testbed's binary, with this limit on file
/// descriptors. The program is killed when the thread that spawns it ends.
#[must_use]
pub fn command(guard: &Path, descriptors: u64, program: &Path) -> Command {
    let mut command = Command::new(guard);
    command.arg("keep").arg(std::process::id().to_string()).arg(descriptors.to_string()).arg(program);
    command
}

/// Replaces this process with the program `command`, given with its arguments; returns only on error:
/// `command` is empty, the process `parent` has exited, a limit can't be set, or the program can't be
/// executed.
#[must_use]
pub fn exec_program(parent: i32, descriptors: u64, command: &[OsString]) -> io::Error {
    let Some((program, arguments)) = command.split_first() else {
        return io::Error::new(io::ErrorKind::InvalidInput, "the program to execute is missing");
    };
    if let Err(error) = set_pdeathsig(Signal::SIGKILL) {
        return error.into();
    }
    // The parent may have exited before the signal was set.
    if getppid() != Pid::from_raw(parent) {
        return io::Error::new(io::ErrorKind::NotFound, "the parent process has exited");
    }
    if let Err(error) = setrlimit(Resource::RLIMIT_NOFILE, descriptors, descriptors) {
        return error.into();
    }
    Command::new(program).args(arguments).exec()
}

/// Raises this process's limit on file descriptors to the hard limit and returns it. The emulators open a
/// connection for each link.
///
/// # Errors
/// The kernel rejects the change.
pub fn raise_descriptor_limit() -> io::Result<u64> {
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit)?;
    Ok(hard_limit)
}
