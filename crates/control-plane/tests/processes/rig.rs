//! Sources, relays and agents as processes, a stand-in for the proxy that watches an agent, and an operator who writes.
//! Each process has an address of its own, so that it has it again after a restart, and ends with its test.

use control_plane::codec::{FrameReader, FrameWriter, encode_backend_body};
use control_plane::message::Message;
use control_plane::record::{Backend, Change, Key, Kind, State, Version};
use control_plane::runtime::writer::{Writer, WriterError};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// How long anything may take before the test fails. No verdict depends on a time below it.
pub const PATIENCE: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_control-plane");

/// Waits for what is bound to come.
pub fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(Instant::now() < end, "waited in vain for: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// An address that nobody else has: calls go out from 127.0.0.1, and tests that run beside this have other process ids.
pub fn address() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 64 + (taken % 128) as u8, high, low);
    SocketAddrV4::new(ip, 7000 + taken / 128).into()
}

/// A folder of this test's own, removed with it.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(test: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.file(name);
        fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A process, killed with this.
pub struct Process {
    child: Child,
    log: Arc<Log>,
}

/// The program with these arguments, to its end.
pub fn program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).stdin(Stdio::null()).output().expect("the program")
}

impl Process {
    /// Starts one and waits until it listens.
    pub fn start(role: &str, config: &Path) -> Self {
        let process = Self::begin(role, config);
        process.says("listens on");
        process
    }

    /// Starts one.
    pub fn begin(role: &str, config: &Path) -> Self {
        let mut command = Command::new(PROGRAM);
        command.arg(role).arg("--config").arg(config).stdin(Stdio::null()).stdout(Stdio::null());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program");
        let log = Arc::new(Log::default());
        let (said, into) = (child.stderr.take().expect("piped"), Arc::clone(&log));
        // Ends with the process.
        std::thread::spawn(move || {
            for line in BufReader::new(said).lines().map_while(Result::ok) {
                into.lines.lock().expect("the log").push(line);
                into.more.notify_all();
            }
        });
        Self { child, log }
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lines.lock().expect("the log").clone()
    }

    /// Waits for a line that holds this, behind the first so many lines. Gives it and the lines up to it.
    pub fn says_after(&self, lines: usize, what: &str) -> (String, usize) {
        let end = Instant::now() + PATIENCE;
        let mut log = self.log.lines.lock().expect("the log");
        loop {
            let found = log.iter().enumerate().skip(lines).find(|(_, line)| line.contains(what));
            if let Some((place, line)) = found {
                return (line.clone(), place + 1);
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "never said `{what}`, but: {log:#?}");
            log = self.log.more.wait_timeout(log, left).expect("the log").0;
        }
    }

    pub fn says(&self, what: &str) -> String {
        self.says_after(0, what).0
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &id]).status().expect("kill");
        assert!(sent.success(), "signal {signal} to {id}");
    }

    /// Waits for its end.
    pub fn ended(&mut self) -> ExitStatus {
        wait_for("the end of the process", || self.child.try_wait().expect("its state"))
    }

    /// Kills it, as a machine that falls.
    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("gone");
    }

    /// Memory that is in use, KB.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
        line.split_whitespace().nth(1).expect("a figure").parse().expect("a number")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Where everybody is, and their settings.
pub struct Region {
    pub folder: Folder,
    pub source: SocketAddr,
    pub relays: Vec<(String, SocketAddr)>,
    /// More keys, by section.
    pub keys: BTreeMap<&'static str, String>,
}

impl Region {
    pub fn new(test: &str, relays: usize) -> Self {
        let relays = (1..=relays).map(|n| (format!("relay-{n}"), address())).collect();
        Self { folder: Folder::new(test), source: address(), relays, keys: BTreeMap::new() }
    }

    fn more(&self, section: &str) -> &str {
        self.keys.get(section).map_or("", String::as_str)
    }

    pub fn snapshot(&self) -> PathBuf {
        self.folder.file("source.snapshot")
    }

    pub fn source_config(&self) -> PathBuf {
        let (listen, snapshot) = (self.source, self.snapshot());
        let text = format!(
            "[source]\nid = 1\nname = \"s\"\nlisten = \"{listen}\"\nsnapshot = {snapshot:?}\n{}\n[pace]\n{}\n",
            self.more("source"),
            self.more("pace")
        );
        self.folder.write("source.toml", &text)
    }

    pub fn start_source(&self) -> Process {
        Process::start("source", &self.source_config())
    }

    pub fn start_relay(&self, place: usize) -> Process {
        let (name, listen) = &self.relays[place];
        let text = format!(
            "[relay]\nname = \"{name}\"\nlisten = \"{listen}\"\nsources = [{{ id = 1, address = \"{}\" }}]\n{}\n[pace]\n{}\n",
            self.source,
            self.more("relay"),
            self.more("pace")
        );
        Process::start("relay", &self.folder.write(&format!("{name}.toml"), &text))
    }

    /// An agent of these services, and where discovery is.
    pub fn start_agent(&self, name: &str, services: &[u32]) -> (Process, SocketAddr) {
        let listen = address();
        let mut text = format!(
            "[agent]\nname = \"{name}\"\nlisten = \"{listen}\"\nservices = {services:?}\nsources = [1]\n{}\n",
            self.more("agent")
        );
        for (name, address) in &self.relays {
            write!(text, "[[agent.relays]]\nname = \"{name}\"\naddress = \"{address}\"\n").expect("text");
        }
        (Process::start("agent", &self.folder.write(&format!("{name}.toml"), &text)), listen)
    }

    /// The relay that an agent follows, by its place, said behind so many lines; and how many lines there are then.
    pub fn followed(&self, agent: &Process, lines: usize) -> (usize, usize) {
        let (line, lines) = agent.says_after(lines, "connected to relay");
        let place = self.relays.iter().position(|(name, _)| line.contains(&format!("`{name}`")));
        (place.expect("a relay of the list"), lines)
    }
}

/// What a proxy knows of a backend: where, and in which phase.
pub type Held = BTreeMap<String, (String, String)>;

/// Asks discovery once.
pub fn ask(discovery: SocketAddr, target: &str) -> (u16, Vec<u8>) {
    let mut stream = TcpStream::connect(discovery).expect("discovery");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    write!(stream, "GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n").expect("a head");
    let status = std::str::from_utf8(&answer[9..12]).expect("a status").parse().expect("a number");
    (status, answer.split_off(head + 4))
}

/// A stand-in for the proxy: takes the whole list, then watches, as the protocol has it, and keeps all that it is told.
pub struct Proxy {
    discovery: SocketAddr,
    after: Option<u64>,
    pub held: Held,
    /// All that was told, in this order: which backend, in which phase.
    pub told: Vec<(String, String)>,
    /// Answers that were whole lists.
    pub wholes: usize,
}

impl Proxy {
    pub fn new(discovery: SocketAddr) -> Self {
        Self { discovery, after: None, held: Held::new(), told: Vec::new(), wholes: 0 }
    }

    /// One call: the whole list, or a watch. Gives whether it was answered.
    pub fn call(&mut self) -> bool {
        let target = match self.after {
            None => "/discovery/hosts".to_owned(),
            Some(after) => format!("/discovery/hosts?after={after}&wait_ms=200"),
        };
        let (status, body) = ask(self.discovery, &target);
        if status != 200 {
            assert_eq!(status, 503, "{}", String::from_utf8_lossy(&body));
            return false;
        }
        let list: Value = serde_json::from_slice(&body).expect("a list");
        self.after = list["revision"].as_u64();
        if list["complete"] == true {
            self.wholes += 1;
            self.held.clear();
        }
        for member in list["members"].as_array().expect("members") {
            let text = |key: &str| member[key].as_str().expect("text").to_owned();
            let (id, phase) = (text("id"), text("phase"));
            self.told.push((id.clone(), phase.clone()));
            match phase.as_str() {
                "left" => self.held.remove(&id),
                _ => self.held.insert(id, (text("host_port"), phase)),
            };
        }
        true
    }

    /// Watches until it holds this.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Held) -> bool) {
        wait_for(what, || {
            let answered = self.call();
            (answered && holds(&self.held)).then_some(())
        });
    }

    /// Watches until it holds these backends in these phases and no others.
    pub fn until_exactly(&mut self, what: &str, backends: &[(&str, &str)]) {
        let wanted: BTreeMap<&str, &str> = backends.iter().copied().collect();
        self.until(what, |held| {
            held.len() == wanted.len()
                && held.iter().all(|(id, (_, phase))| wanted.get(id.as_str()) == Some(&phase.as_str()))
        });
    }
}

/// A change of a backend.
pub fn change(service: u32, name: &str, state: State) -> Change {
    let backend = Backend {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 3000),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 1,
        size: 1.0,
        up_since_ms: 0,
    };
    let body = if state == State::Gone { Arc::from([]) } else { encode_backend_body(&backend) };
    Change { key: Key { service, kind: Kind::Backend, name: name.into() }, state, body }
}

/// A change of something else, with so long a body.
pub fn blob(service: u32, name: &str, bytes: usize, fill: u8) -> Change {
    let key = Key { service, kind: Kind::Configuration, name: name.into() };
    Change { key, state: State::Active, body: vec![fill; bytes].into() }
}

/// Whoever writes to the source.
pub struct Operator {
    runtime: tokio::runtime::Runtime,
    source: SocketAddr,
    writer: Option<Writer>,
}

impl Operator {
    pub fn new(source: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        Self { runtime, source, writer: None }
    }

    pub fn write(&mut self, changes: Vec<Change>) -> Result<Option<Version>, WriterError> {
        let Self { runtime, source, writer } = self;
        runtime.block_on(async {
            let mut connection = match writer.take() {
                Some(writer) => writer,
                None => Writer::connect(*source).await?,
            };
            let last = connection.write_parts(changes).await?;
            *writer = Some(connection);
            Ok(last)
        })
    }

    /// States of backends of one service.
    pub fn set(&mut self, service: u32, backends: &[(&str, State)]) -> Version {
        let changes = backends.iter().map(|(name, state)| change(service, name, *state)).collect();
        self.write(changes).expect("written").expect("a version")
    }
}

/// What the system holds for such a connection on the way in, bytes.
pub const RECEIVE_BUFFER: u32 = 128 << 10;

/// A connection to a source or relay that says whatever a test wants.
pub struct Raw {
    pub runtime: tokio::runtime::Runtime,
    pub reader: FrameReader<OwnedReadHalf>,
    pub writer: OwnedWriteHalf,
}

impl Raw {
    pub fn new(address: SocketAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a buffer");
            socket.connect(address).await.expect("a connection")
        });
        let (reader, writer) = stream.into_split();
        Self { runtime, reader: FrameReader::new(reader), writer }
    }

    pub fn say(&mut self, message: &Message) {
        self.runtime.block_on(FrameWriter::new(&mut self.writer).write(message)).expect("said");
    }

    pub fn send(&mut self, bytes: &[u8]) {
        use tokio::io::AsyncWriteExt;
        self.runtime.block_on(self.writer.write_all(bytes)).expect("sent");
    }

    /// Ends its own side.
    pub fn end(&mut self) {
        use tokio::io::AsyncWriteExt;
        self.runtime.block_on(self.writer.shutdown()).expect("ended");
    }

    /// The next message; `None` at the end of the connection.
    pub fn hear(&mut self) -> Option<Message> {
        let Self { runtime, reader, .. } = self;
        let heard = runtime.block_on(async { tokio::time::timeout(PATIENCE, reader.read()).await });
        heard.expect("an answer").expect("a message")
    }

    /// What is said up to the end of the connection.
    pub fn hear_all(&mut self) -> Vec<Message> {
        std::iter::from_fn(|| self.hear()).collect()
    }
}
