//! The proxy's program with stand-ins for backends, discovery and clients, all on loopback sockets. Nothing
//! here waits for a span of time: tests wait for events, and the time-outs only end a test that has failed.
#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// Ends a test that waits for what never comes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A message as it came: its head and its body.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// Which of the backend's connections it came on.
    pub connection: usize,
    /// When its last byte was read.
    pub at: Instant,
}

impl Seen {
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Seen> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut seen = Seen { head, body: Vec::new(), connection: 0, at: Instant::now() };
    if seen.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).expect("a chunk's size");
            let began = seen.body.len();
            seen.body.resize(began + size, 0);
            reader.read_exact(&mut seen.body[began..]).ok()?;
            reader.read_line(&mut line).ok()?;
            if size == 0 {
                seen.at = Instant::now();
                return Some(seen);
            }
        }
    }
    let length = seen.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    seen.body.resize(length, 0);
    reader.read_exact(&mut seen.body).ok()?;
    seen.at = Instant::now();
    Some(seen)
}

/// What a backend does with a request.
pub enum Reply {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(Vec<u8>),
    /// Waits for a word from the test, then does that.
    After(Receiver<()>, Box<Reply>),
    /// Works for so long, then does that.
    Later(Duration, Box<Reply>),
    /// Never answers.
    Hang,
}

pub fn answer(status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A listener whose queue is full, and the connection that fills it: others come up only when the queue is emptied.
pub fn full_listener() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().expect("an address")).expect("the queue takes one");
    (listener, filler)
}

/// Writes all of it, if the other side still reads.
pub fn write(mut stream: &TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

pub fn ok(body: &str) -> Reply {
    Reply::Write(answer("200 OK", "", body.as_bytes()))
}

type Script = Box<dyn FnMut(&Seen) -> Reply + Send>;

/// A backend that answers as its script says and tells the test what it saw.
pub struct Backend {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

fn carry_out(reply: Reply, stream: &mut TcpStream) -> bool {
    match reply {
        Reply::Write(bytes) => stream.write_all(&bytes).is_ok(),
        Reply::WriteAndClose(bytes) => {
            let _ = stream.write_all(&bytes);
            false
        }
        Reply::After(word, reply) => {
            let _ = word.recv_timeout(PATIENCE);
            carry_out(*reply, stream)
        }
        Reply::Later(work, reply) => {
            thread::sleep(work);
            carry_out(*reply, stream)
        }
        Reply::Hang => true,
    }
}

impl Backend {
    pub fn start(script: impl FnMut(&Seen) -> Reply + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (told, seen) = channel();
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(mut stream), told, script) = (stream, told.clone(), Arc::clone(&script)) else {
                    return;
                };
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(mut request) = read_message(&mut reader) {
                        request.connection = connection;
                        let reply = script.lock().expect("a script")(&request);
                        // A close is told of once it is done: what comes then can't cross it.
                        let closes = matches!(reply, Reply::WriteAndClose(_));
                        if !closes {
                            let _ = told.send(request.clone());
                        }
                        if !carry_out(reply, &mut stream) {
                            let _ = stream.shutdown(std::net::Shutdown::Both);
                            if closes {
                                let _ = told.send(request);
                            }
                            return;
                        }
                    }
                });
            }
        });
        Self { address, seen }
    }

    /// The next request that it sees.
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).expect("the backend sees a request")
    }

    /// What it has seen beyond that.
    pub fn rest(&self) -> usize {
        self.seen.try_iter().count()
    }
}

/// A backend's entry in discovery's list.
pub fn entry(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

struct Board {
    revision: u64,
    list: Option<Value>,
}

/// Discovery that tells what the test posts, and which version each call knows.
pub struct Discovery {
    pub address: SocketAddr,
    board: Arc<(Mutex<Board>, Condvar)>,
    calls: Receiver<Option<u64>>,
}

fn serve_watch(stream: TcpStream, board: &(Mutex<Board>, Condvar), told: &Sender<Option<u64>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let request = read_message(&mut reader)?;
        let number = |name: &str| {
            let (_, rest) = request.first_line().split_once(name)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            Some(digits.parse::<u64>().expect("a number"))
        };
        let (after, wait) = (number("after="), number("wait_ms="));
        told.send(after).ok()?;
        // A watch is answered when its wait is over, with nothing where nothing has changed.
        let wait = wait.map_or(PATIENCE, Duration::from_millis);
        let (lock, changed) = board;
        let board = lock.lock().expect("the board");
        let old = |board: &mut Board| board.list.is_none() || after == Some(board.revision);
        let (board, _) = changed.wait_timeout_while(board, wait, old).expect("the board");
        let text = match &board.list {
            _ if after == Some(board.revision) => {
                json!({"revision": after, "complete": false, "members": []})
            }
            Some(list) => list.clone(),
            None => return None,
        };
        drop(board);
        let text = text.to_string();
        stream.write_all(&answer("200 OK", "", text.as_bytes())).ok()?;
    }
}

impl Discovery {
    /// Discovery that holds every call until a list is posted.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let board = Arc::new((Mutex::new(Board { revision: 0, list: None }), Condvar::new()));
        let (told, calls) = channel();
        let shared = Arc::clone(&board);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), board, told) = (stream, Arc::clone(&shared), told.clone()) else { return };
                thread::spawn(move || serve_watch(stream, &board, &told));
            }
        });
        Self { address, board, calls }
    }

    /// The version that the next call knows.
    pub fn next_call(&self) -> Option<u64> {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }

    /// How many calls came that the test has not looked at; it has then.
    pub fn calls(&self) -> usize {
        self.calls.try_iter().count()
    }

    /// Posts a list, whoever hears it; gives its version.
    pub fn post_unheard(&self, complete: bool, members: &[Value]) -> u64 {
        let (lock, changed) = &*self.board;
        let mut board = lock.lock().expect("the board");
        board.revision += 1;
        let revision = board.revision;
        board.list = Some(json!({"revision": revision, "complete": complete, "members": members}));
        drop(board);
        changed.notify_all();
        revision
    }

    /// Posts a list and waits until the proxy holds it: it then asks for what is newer.
    pub fn post(&self, complete: bool, members: &[Value]) {
        let revision = self.post_unheard(complete, members);
        while self.calls.recv_timeout(PATIENCE).expect("a further watch") != Some(revision) {}
    }
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimUs": 10_000_000, "deadlineUs": 20_000_000, "worth": 1.0, "lateWorth": 0.5,
               "effect": effect, "group": "cell", "keyTtlUs": 3_000_000})
    };
    json!({"me": 0, "balancers": 1, "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
        "membershipMode": "pushed",
        "classes": [class("read", "retryable"), class("submit", "dedup"), class("charge", "fragile")],
        "permissions": {"maxAttempts": 4, "secondCopies": true, "cancel": true, "probes": true,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 5_000_000},
        "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
}

/// A configuration that knows no backends.
pub fn config(name: &str, discovery: &Discovery) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": settings()})
}

/// The program, running.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    name: String,
    log: BufReader<ChildStderr>,
}

/// An empty folder of a test's own.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("haventrack-folder-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

/// Calls a console; the one line that it answers.
pub fn call(console: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(console).expect("the console accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(line.as_bytes()).expect("the console reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("one answer");
    assert!(answer.ends_with('\n') && answer.lines().count() == 1, "{answer:?}");
    answer
}

fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("haventrack-{}-{name}.json", std::process::id()))
}

/// How the program is started.
pub struct Launch<'a> {
    name: &'a str,
    config: String,
    folder: Option<&'a Path>,
    descriptors: Option<usize>,
    environment: Vec<(&'static str, String)>,
}

impl<'a> Launch<'a> {
    /// With this configuration and what the tests' own environment holds.
    pub fn new(name: &'a str, config: &str) -> Self {
        let (folder, descriptors, environment) = (None, None, Vec::new());
        Self { name, config: config.to_owned(), folder, descriptors, environment }
    }

    /// With this folder for what outlives a process.
    pub fn in_folder(mut self, folder: &'a Path) -> Self {
        self.folder = Some(folder);
        self
    }

    /// The kernel gives so many descriptors and no more, whatever the program is told.
    pub fn limited(mut self, descriptors: usize) -> Self {
        self.descriptors = Some(descriptors);
        self
    }

    /// With these variables.
    pub fn with(mut self, environment: Vec<(&'static str, String)>) -> Self {
        self.environment = environment;
        self
    }

    /// Starts it, its standard error at hand.
    pub fn spawn(&self) -> Child {
        let path = match self.folder {
            Some(folder) => folder.join(format!("{}.json", self.name)),
            None => config_path(self.name),
        };
        fs::write(&path, &self.config).expect("the configuration is written");
        let program = env!("CARGO_BIN_EXE_load-balancing-proxy");
        let mut command = match self.descriptors {
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most}; exec \"$0\""), program]);
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

    /// Starts it and waits until it listens.
    pub fn start(&self) -> Proxy {
        let mut child = self.spawn();
        let mut log = BufReader::new(child.stderr.take().expect("standard error"));
        let address = told(&mut log, "listens on ");
        Proxy { child, address, name: self.name.into(), log }
    }

    /// The same of a proxy with a console, and where that is.
    pub fn start_with_console(&self) -> (Proxy, SocketAddr) {
        let mut proxy = self.start();
        let console = told(&mut proxy.log, "answers operators on ");
        (proxy, console)
    }
}

/// Starts the program with this configuration, its standard error at hand.
pub fn launch(name: &str, config: &str) -> Child {
    Launch::new(name, config).spawn()
}

/// Starts the program with its external processor on, set by these lines beside its address.
pub fn launch_with_callers(name: &str, config: &str, settings: &str) -> Child {
    let extproc = env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    fs::write(&extproc, format!("listen = \"127.0.0.1:0\"\n{settings}")).expect("the settings are written");
    Launch::new(name, config).with(vec![("EDGE_EXTPROC", extproc.display().to_string())]).spawn()
}

/// Starts the program with this folder for what outlives a process.
pub fn launch_in(folder: &Path, name: &str, config: &str) -> Child {
    Launch::new(name, config).in_folder(folder).spawn()
}

/// The address behind these words in a line of the log.
fn told(log: &mut impl BufRead, words: &str) -> SocketAddr {
    let mut line = String::new();
    loop {
        line.clear();
        assert_ne!(log.read_line(&mut line).expect("a log"), 0, "the proxy ended before it {words}");
        if let Some((_, address)) = line.trim().rsplit_once(words) {
            return address.parse().expect("an address");
        }
    }
}

impl Proxy {
    /// A proxy that answers callers as well, and where.
    pub fn start_with_callers(name: &str, config: Value, settings: &str) -> (Self, SocketAddr) {
        let mut child = launch_with_callers(name, &config.to_string(), settings);
        let mut log = BufReader::new(child.stderr.take().expect("standard error"));
        let address = told(&mut log, "listens on ");
        let callers = told(&mut log, "answers callers on ");
        (Self { child, address, name: name.into(), log }, callers)
    }

    /// A proxy to which the kernel gives so many descriptors and no more, whatever it is told.
    pub fn start_limited(name: &str, config: &Value, descriptors: usize) -> Self {
        Launch::new(name, &config.to_string()).limited(descriptors).start()
    }

    /// A proxy with a console, and where that is, to which the kernel gives so many descriptors and no more.
    pub fn start_limited_in(
        folder: &Path,
        name: &str,
        config: &Value,
        descriptors: usize,
    ) -> (Self, SocketAddr) {
        Launch::new(name, &config.to_string()).in_folder(folder).limited(descriptors).start_with_console()
    }

    /// A proxy with a console, and where that is.
    pub fn start_in(folder: &Path, name: &str, config: &Value) -> (Self, SocketAddr) {
        Launch::new(name, &config.to_string()).in_folder(folder).start_with_console()
    }

    /// A proxy that is up with these backends.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_bare(name, discovery);
        discovery.post(true, members);
        proxy
    }

    /// A proxy that has been told nothing yet.
    pub fn start_bare(name: &str, discovery: &Discovery) -> Self {
        Self::start_with(name, config(name, discovery))
    }

    /// A proxy with this configuration.
    pub fn start_with(name: &str, config: Value) -> Self {
        Launch::new(name, &config.to_string()).start()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn signal(&self, signal: &str) {
        let done = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration's file and tells the proxy so.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Waits for a line of the log that holds these words.
    pub fn wait_for_log(&mut self, words: &str) -> String {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert_ne!(self.log.read_line(&mut line).expect("a log"), 0, "the proxy ended");
        }
        line
    }

    /// What it still logs until it ends.
    pub fn rest_of_log(&mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        text
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the proxy ends")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

/// A request of a class as clients send it. `id` is also its key.
pub fn request(class: &str, id: &str, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "submit" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
    format!(
        "{method} /{class}?key=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: 15000\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the proxy accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Self { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the proxy reads");
    }

    pub fn receive(&mut self) -> Seen {
        read_message(&mut self.reader).expect("a whole answer")
    }

    pub fn ask(&mut self, text: &str) -> Seen {
        self.send(text);
        self.receive()
    }

    /// Whether the proxy ends the connection without a reset and without a further byte.
    pub fn ends_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}
