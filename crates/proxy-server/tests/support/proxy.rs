//! The proxy executable as a child process.

use super::TEST_TIMEOUT;
use super::client::Client;
use super::configuration::config;
use super::discovery::Discovery;
use super::process_state::process_state;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// How long a process may take to end: longer than any deadline in these tests.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// An empty folder for one test.
pub fn empty_folder(name: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("haventrack-folder-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

/// Sends a command to a console; returns the one response line.
pub fn send_command(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("the console accepts");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream.write_all(line.as_bytes()).expect("the console reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("one response");
    assert!(response.ends_with('\n') && response.lines().count() == 1, "{response:?}");
    response
}

fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("haventrack-{}-{name}.json", std::process::id()))
}

/// How the executable is started.
pub struct Launch<'a> {
    name: &'a str,
    config: String,
    folder: Option<&'a Path>,
    descriptor_limit: Option<usize>,
    environment: Vec<(&'static str, String)>,
}

impl<'a> Launch<'a> {
    /// With this configuration, in the environment of the tests.
    pub fn new(name: &'a str, config: &str) -> Self {
        Self {
            name,
            config: config.to_owned(),
            folder: None,
            descriptor_limit: None,
            environment: Vec::new(),
        }
    }

    /// With this folder for persistent state.
    pub fn in_folder(mut self, folder: &'a Path) -> Self {
        self.folder = Some(folder);
        self
    }

    /// With this limit on descriptors in the kernel, whatever the configuration states.
    pub fn with_descriptor_limit(mut self, descriptors: usize) -> Self {
        self.descriptor_limit = Some(descriptors);
        self
    }

    /// With these additional environment variables.
    pub fn with_environment(mut self, environment: Vec<(&'static str, String)>) -> Self {
        self.environment = environment;
        self
    }

    /// Starts the process with its standard error piped.
    pub fn spawn(&self) -> Child {
        let path = match self.folder {
            Some(folder) => folder.join(format!("{}.json", self.name)),
            None => config_path(self.name),
        };
        fs::write(&path, &self.config).expect("the configuration is written");
        let program = env!("CARGO_BIN_EXE_load-balancing-proxy");
        let mut command = match self.descriptor_limit {
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit}; exec \"$0\""), program]);
                shell
            }
            None => Command::new(program),
        };
        if let Some(folder) = self.folder {
            command.env("TMPDIR", folder);
        }
        command.env("EDGE_CONFIG", path).envs(self.environment.iter().cloned());
        command.stderr(Stdio::piped()).spawn().expect("the program starts")
    }

    /// Starts the process and waits until it listens.
    pub fn start(&self) -> Proxy {
        let mut child = self.spawn();
        let mut log = BufReader::new(child.stderr.take().expect("standard error"));
        let address = logged_address(&mut log, "listens on ");
        Proxy { child, address, name: self.name.into(), log }
    }

    /// Starts a proxy with a console; returns the console's address as well.
    pub fn start_with_console(&self) -> (Proxy, SocketAddr) {
        let mut proxy = self.start();
        let console = logged_address(&mut proxy.log, "answers operators on ");
        (proxy, console)
    }
}

/// Starts the process with this configuration and its standard error piped.
pub fn spawn_proxy(name: &str, config: &str) -> Child {
    Launch::new(name, config).spawn()
}

/// Starts the process with an external processor on a free port, whose other settings are these TOML lines.
pub fn spawn_with_external_processor(name: &str, config: &str, settings: &str) -> Child {
    let path = env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    fs::write(&path, format!("listen = \"127.0.0.1:0\"\n{settings}")).expect("the settings are written");
    Launch::new(name, config).with_environment(vec![("EDGE_EXTPROC", path.display().to_string())]).spawn()
}

/// The address after this text in a line of the log.
fn logged_address(log: &mut impl BufRead, text: &str) -> SocketAddr {
    let mut line = String::new();
    loop {
        line.clear();
        assert_ne!(log.read_line(&mut line).expect("a log"), 0, "the proxy ended before it {text}");
        if let Some((_, address)) = line.trim().rsplit_once(text) {
            return address.parse().expect("an address");
        }
    }
}

/// A running proxy; dropping it kills the process.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    name: String,
    log: BufReader<ChildStderr>,
}

impl Proxy {
    /// A proxy with an external processor, and its address.
    pub fn start_with_external_processor(name: &str, config: &Value, settings: &str) -> (Self, SocketAddr) {
        let mut child = spawn_with_external_processor(name, &config.to_string(), settings);
        let mut log = BufReader::new(child.stderr.take().expect("standard error"));
        let address = logged_address(&mut log, "listens on ");
        let external_processor = logged_address(&mut log, "answers callers on ");
        (Self { child, address, name: name.into(), log }, external_processor)
    }

    /// A proxy with a limit on descriptors in the kernel, whatever the configuration states.
    pub fn start_with_descriptor_limit(name: &str, config: &Value, descriptors: usize) -> Self {
        Launch::new(name, &config.to_string()).with_descriptor_limit(descriptors).start()
    }

    /// A proxy with a console, and the console's address.
    pub fn start_with_console(folder: &Path, name: &str, config: &Value) -> (Self, SocketAddr) {
        Launch::new(name, &config.to_string()).in_folder(folder).start_with_console()
    }

    /// A proxy that has applied this list of backends.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_without_list(name, discovery);
        discovery.post(true, members);
        proxy
    }

    /// A proxy that has not received a list of backends yet.
    pub fn start_without_list(name: &str, discovery: &Discovery) -> Self {
        Self::start_with_config(name, &config(name, discovery))
    }

    /// A proxy with this configuration.
    pub fn start_with_config(name: &str, config: &Value) -> Self {
        Launch::new(name, &config.to_string()).start()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and signals the proxy to reload it.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Waits for a line of the log that holds this text.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert_ne!(self.log.read_line(&mut line).expect("a log"), 0, "the proxy ended");
        }
        line
    }

    /// The rest of the log, up to the end of the process.
    pub fn remaining_log(&mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        text
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.wait_within(EXIT_TIMEOUT)
    }

    /// Waits until the process has ended. One that does not end in time fails the test, which reports its state.
    pub fn wait_within(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(Instant::now() < end, "no exit within {limit:?}:\n{}", process_state(self.child.id()));
            thread::sleep(EXIT_CHECK_INTERVAL);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
