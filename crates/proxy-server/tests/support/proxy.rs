//! The proxy executable as a child process.

use super::TEST_TIMEOUT;
use super::client::Client;
use super::configuration::proxy_config;
use super::discovery::Discovery;
use super::process_state::describe_threads;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// How long a process may take to exit; longer than any response deadline in these tests.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Creates an empty folder for one test; deletes the contents that an earlier run left.
pub fn create_empty_folder(name: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("haventrack-folder-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("create the folder");
    path
}

/// Sends a command to a console. Returns the response, which must be a single line.
pub fn send_command(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("connect to the console");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream.write_all(line.as_bytes()).expect("write to the console");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("read the response");
    assert!(response.ends_with('\n') && response.lines().count() == 1, "{response:?}");
    response
}

fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("haventrack-{}-{name}.json", std::process::id()))
}

/// Options for the start of the executable.
pub struct ProxyCommand<'a> {
    name: &'a str,
    config: String,
    folder: Option<&'a Path>,
    descriptor_limit: Option<usize>,
    environment: Vec<(&'static str, String)>,
}

impl<'a> ProxyCommand<'a> {
    /// Starts with this configuration and the environment of the tests. `name` names the configuration file.
    pub fn new(name: &'a str, config: &str) -> Self {
        Self {
            name,
            config: config.to_owned(),
            folder: None,
            descriptor_limit: None,
            environment: Vec::new(),
        }
    }

    /// Uses this folder for the configuration file and for persisted state.
    pub fn with_folder(mut self, folder: &'a Path) -> Self {
        self.folder = Some(folder);
        self
    }

    /// Sets the kernel's limit on open descriptors, independent of the limit in the configuration.
    pub fn with_descriptor_limit(mut self, descriptors: usize) -> Self {
        self.descriptor_limit = Some(descriptors);
        self
    }

    /// Replaces the additional environment variables.
    pub fn with_environment(mut self, environment: Vec<(&'static str, String)>) -> Self {
        self.environment = environment;
        self
    }

    /// Spawns the process with a pipe as its standard error.
    pub fn spawn(&self) -> Child {
        let path = match self.folder {
            Some(folder) => folder.join(format!("{}.json", self.name)),
            None => config_path(self.name),
        };
        fs::write(&path, &self.config).expect("write the configuration");
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
        command.stderr(Stdio::piped()).spawn().expect("start the proxy")
    }

    /// Starts the process and waits until it listens for clients.
    pub fn start(&self) -> Proxy {
        let mut child = self.spawn();
        let mut log = BufReader::new(child.stderr.take().expect("piped standard error"));
        let address = logged_address(&mut log, "listens on ");
        Proxy { child, address, name: self.name.into(), log }
    }

    /// Starts a proxy with a console and waits until it listens for both; returns the address of the console
    /// as well.
    pub fn start_with_console(&self) -> (Proxy, SocketAddr) {
        let mut proxy = self.start();
        let console = logged_address(&mut proxy.log, "answers operators on ");
        (proxy, console)
    }
}

/// Spawns the process with this configuration and a pipe as its standard error.
pub fn spawn_proxy(name: &str, config: &str) -> Child {
    ProxyCommand::new(name, config).spawn()
}

/// Spawns the process with an external processor on a free port; `settings` are its other settings as TOML
/// lines.
pub fn spawn_with_external_processor(name: &str, config: &str, settings: &str) -> Child {
    let path = env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    fs::write(&path, format!("listen = \"127.0.0.1:0\"\n{settings}")).expect("write the settings");
    ProxyCommand::new(name, config)
        .with_environment(vec![("EDGE_EXTPROC", path.display().to_string())])
        .spawn()
}

/// Reads the log up to a line with this text, and returns the address that follows the text.
fn logged_address(log: &mut impl BufRead, text: &str) -> SocketAddr {
    let mut line = String::new();
    loop {
        line.clear();
        assert_ne!(
            log.read_line(&mut line).expect("read the log"),
            0,
            "the proxy exited before it logged {text:?}"
        );
        if let Some((_, address)) = line.trim().rsplit_once(text) {
            return address.parse().expect("an address in the log");
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
    /// Starts a proxy with an external processor; returns the address of the external processor as well.
    pub fn start_with_external_processor(name: &str, config: &Value, settings: &str) -> (Self, SocketAddr) {
        let mut child = spawn_with_external_processor(name, &config.to_string(), settings);
        let mut log = BufReader::new(child.stderr.take().expect("piped standard error"));
        let address = logged_address(&mut log, "listens on ");
        let external_processor = logged_address(&mut log, "answers callers on ");
        (Self { child, address, name: name.into(), log }, external_processor)
    }

    /// Starts a proxy with this kernel limit on open descriptors, independent of the limit in the
    /// configuration.
    pub fn start_with_descriptor_limit(name: &str, config: &Value, descriptors: usize) -> Self {
        ProxyCommand::new(name, &config.to_string()).with_descriptor_limit(descriptors).start()
    }

    /// Starts a proxy with a console; returns the address of the console as well.
    pub fn start_with_console(folder: &Path, name: &str, config: &Value) -> (Self, SocketAddr) {
        ProxyCommand::new(name, &config.to_string()).with_folder(folder).start_with_console()
    }

    /// Starts a proxy and waits until it has applied this list of backends.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_without_discovery_list(name, discovery);
        discovery.publish_and_wait(true, members);
        proxy
    }

    /// Starts a proxy that has not received a list of backends from discovery yet.
    pub fn start_without_discovery_list(name: &str, discovery: &Discovery) -> Self {
        Self::start_with_config(name, &proxy_config(name, discovery))
    }

    /// Starts a proxy with this configuration.
    pub fn start_with_config(name: &str, config: &Value) -> Self {
        ProxyCommand::new(name, &config.to_string()).start()
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a signal, given as an option of `kill` such as `-HUP`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("run kill").success());
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and makes the proxy reload it with SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("write the configuration");
        self.signal("-HUP");
    }

    /// Reads the log up to a line that contains this text, and returns the line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert_ne!(
                self.log.read_line(&mut line).expect("read the log"),
                0,
                "the proxy exited before it logged {text:?}"
            );
        }
        line
    }

    /// Waits for the exit of the process and returns the rest of its log.
    pub fn remaining_log(&mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("read the log");
        text
    }

    /// Waits for the exit of the process, at most [`EXIT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.wait_for_exit_within(EXIT_TIMEOUT)
    }

    /// Waits for the exit of the process. Fails the test with the state of its threads if the limit passes.
    pub fn wait_for_exit_within(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("query the exit status") {
                return status;
            }
            assert!(Instant::now() < end, "no exit within {limit:?}:\n{}", describe_threads(self.child.id()));
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
