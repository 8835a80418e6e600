//! Shared parts of the cases of the second review: processes, stand-ins and the record. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// A case ends by itself after this time.
const WATCHDOG: Duration = Duration::from_secs(110);

pub struct Case {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub trouble: bool,
    began: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
}

static CASE: OnceLock<Case> = OnceLock::new();

pub fn case() -> &'static Case {
    CASE.get().expect("the case was begun")
}

/// Begins the case: `run.sh` starts the program in the folder of the case.
pub fn begin() -> &'static Case {
    let dir = std::env::current_dir().expect("a current folder");
    let root = dir.join("../..").canonicalize().expect("the root of the repository");
    let tmp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&tmp).expect("a temporary folder");
    let record = Mutex::new(File::create(dir.join("record.txt")).expect("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { root, tmp, trouble, began: Instant::now(), record, children: Mutex::default() };
    assert!(CASE.set(case).is_ok());
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        note("the time of the case is over");
        end(2);
    });
    std::panic::set_hook(Box::new(|info| {
        note(&format!("could not run: {info}"));
        eprintln!("could not run: {info}");
        end(2);
    }));
    note(&format!("begins, trouble: {trouble}"));
    self::case()
}

pub fn now_ms() -> u64 {
    case().began.elapsed().as_millis() as u64
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let at = now_ms();
    if let Ok(mut file) = case().record.lock() {
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Ends all processes of the case, removes its folder and exits.
pub fn end(code: i32) -> ! {
    if let Ok(mut children) = case().children.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
        }
        for child in children.iter_mut() {
            let _ = child.wait();
        }
    }
    let _ = fs::remove_dir_all(&case().tmp);
    note(&format!("exit code {code}"));
    std::process::exit(code);
}

/// Reports the verdict and exits.
pub fn verdict(broken: &[String]) -> ! {
    for line in broken {
        note(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    if broken.is_empty() {
        note("the rule held");
        println!("the rule held");
    }
    end(i32::from(!broken.is_empty()));
}

/// Cannot run: a condition of the case was not met.
pub fn cannot_run(why: &str) -> ! {
    note(&format!("could not run: {why}"));
    println!("could not run: {why}");
    end(2);
}

/// An address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Starts a program of the project; its log goes into the record.
pub fn spawn(name: &'static str, mut command: Command) -> u32 {
    command.current_dir(&case().root).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap_or_else(|error| panic!("{name} does not start: {error}"));
    let pid = child.id();
    note(&format!("started {name}"));
    let (out, err) = (child.stdout.take(), child.stderr.take());
    if let Some(out) = out {
        thread::spawn(move || BufReader::new(out).lines().map_while(Result::ok).for_each(|l| note(&format!("{name}: {l}"))));
    }
    if let Some(err) = err {
        thread::spawn(move || BufReader::new(err).lines().map_while(Result::ok).for_each(|l| note(&format!("{name}: {l}"))));
    }
    case().children.lock().unwrap().push(child);
    pid
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let deploy = fs::read_to_string(case().root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.trim_start_matches("run = ").trim_matches('"').to_owned()
}

/// Starts a proxy as the platform does, with this configuration.
pub fn start_proxy(name: &'static str, config: &Path, tmp: &Path, variables: &[(&str, &str)]) -> u32 {
    fs::create_dir_all(tmp).expect("the folder of a proxy");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(run_command()).env("EDGE_CONFIG", config).env("TMPDIR", tmp);
    for name in ["EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_CONSOLE", "EDGE_EXTPROC"] {
        command.env_remove(name);
    }
    command.envs(variables.iter().copied());
    spawn(name, command)
}

/// Sends a signal to a process of the case.
pub fn signal(pid: u32, name: &str) {
    note(&format!("signal {name} to process {}", process_name(pid)));
    let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    assert!(status.is_ok_and(|status| status.success()), "kill -{name} failed");
}

fn process_name(pid: u32) -> String {
    let position = case().children.lock().unwrap().iter().position(|child| child.id() == pid);
    position.map_or_else(|| "?".into(), |position| format!("{position}"))
}

/// The exit code of a process of the case, if it has ended; -1 for a signal.
pub fn exit_code(pid: u32) -> Option<i32> {
    let mut children = case().children.lock().unwrap();
    let child = children.iter_mut().find(|child| child.id() == pid)?;
    child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
}

/// Waits until a process has ended.
pub fn wait_exit(pid: u32, limit_ms: u64) -> Option<i32> {
    let until = now_ms() + limit_ms;
    while now_ms() < until {
        if let Some(code) = exit_code(pid) {
            return Some(code);
        }
        sleep_ms(10);
    }
    None
}

pub fn wait_for(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) {
    let until = now_ms() + limit_ms;
    while !holds() {
        if now_ms() > until {
            cannot_run(&format!("waited in vain: {what}"));
        }
        sleep_ms(10);
    }
}

// --- HTTP/1.1 ---------------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// What a server does with a request that it has read.
pub enum Answer {
    /// A status with further header lines and a body.
    Status(u16, String, Vec<u8>),
    /// The connection ends with no answer.
    Break,
}

pub fn ok(body: &str) -> Answer {
    Answer::Status(200, String::new(), body.as_bytes().to_vec())
}

/// Serves HTTP/1.1 on an address, a thread for each connection.
pub fn serve(listener: TcpListener, handler: impl Fn(&Message) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(reading), stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    match handler(&request) {
                        Answer::Break => {
                            let _ = writer.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                        Answer::Status(status, headers, body) => {
                            let length = body.len();
                            let mut bytes = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
                            bytes.extend_from_slice(&body);
                            if writer.write_all(&bytes).is_err() {
                                return;
                            }
                        }
                    }
                }
            });
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, text: &str, body: &[u8], limit_ms: u64) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
    let mut bytes = text.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream), true)?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

pub fn get(address: SocketAddr, target: &str) -> io::Result<Message> {
    call(address, &format!("GET {target} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"), b"", 3_000)
}

/// Waits until a proxy says that it is up.
pub fn wait_up(address: SocketAddr) {
    wait_for("GET /up is answered 200", 20_000, || get(address, "/up").is_ok_and(|m| m.status() == 200));
    note("the proxy is up");
}

/// One line to the console of a proxy.
pub fn console(address: SocketAddr, line: &str) -> String {
    let answer = (|| -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(answer.trim_end().to_owned())
    })();
    answer.unwrap_or_else(|error| format!("no answer: {error}"))
}

// --- Discovery: an agent on the proxy's machine ------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub phase: &'static str,
}

#[derive(Default)]
struct ListState {
    revision: u64,
    members: Vec<Member>,
}

/// The stand-in of discovery: whole lists, and watches that answer with the whole list.
#[derive(Clone, Default)]
pub struct Discovery(Arc<(Mutex<ListState>, Condvar)>);

impl Discovery {
    pub fn start(members: Vec<Member>) -> (Self, SocketAddr) {
        let discovery = Self::default();
        discovery.set(members);
        let (listener, address) = listen();
        let served = discovery.clone();
        serve(listener, move |request| {
            let target = request.target().to_owned();
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let field = |name: &str| {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (lock, changed) = &*served.0;
            let mut state = lock.lock().unwrap();
            if let Some(after) = field("after") {
                let wait = Duration::from_millis(field("wait_ms").unwrap_or(0).min(60_000));
                state = changed.wait_timeout_while(state, wait, |state| state.revision <= after).unwrap().0;
                if state.revision <= after {
                    return ok(&format!("{{\"revision\":{},\"complete\":false,\"members\":[]}}", state.revision));
                }
            }
            ok(&format!("{{\"revision\":{},\"complete\":true,\"members\":{}}}", state.revision, members_json(&state.members)))
        });
        (discovery, address)
    }

    pub fn set(&self, members: Vec<Member>) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        state.members = members;
        state.revision += 1;
        changed.notify_all();
    }
}

pub fn members_json(members: &[Member]) -> String {
    let entries: Vec<String> = members
        .iter()
        .map(|m| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"std-1core\",\"cell\":{},\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
                m.id, m.address, m.zone, m.cell, m.phase
            )
        })
        .collect();
    format!("[{}]", entries.join(","))
}

// --- Configuration -----------------------------------------------------------------------------------------

pub struct ProxyConfig {
    /// New with each start.
    pub seed: u64,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub console: Option<SocketAddr>,
    /// The entries of `settings.classes`.
    pub classes: String,
    pub known: Vec<Member>,
}

impl ProxyConfig {
    pub fn json(&self) -> String {
        let console = self.console.map_or(String::new(), |address| format!("\"console\":\"{address}\","));
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",{console}\"seed\":\"{:016x}\",
\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},
\"known\":{{\"revision\":0,\"complete\":true,\"members\":{}}},
\"settings\":{{\"me\":0,\"balancers\":1,\"zone\":0,\"failureDomains\":[\"north\"],\"kinds\":[\"std-1core\"],\"membershipMode\":\"pushed\",
\"classes\":[{}],
\"tenants\":[],\"penalties\":{{\"crossZone\":0.12,\"probe\":0.01}},
\"permissions\":{{\"maxAttempts\":5,\"secondCopies\":false,\"cancel\":true,\"probes\":false,\"connIdleUs\":15000000,\"multiplex\":1,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\"dialTimeoutUs\":250000}},
\"safety\":{{\"answerSlackUs\":20000,\"askWithinUs\":10000000,\"coldFrom\":0.33,\"coldUs\":8200000,\"drainGraceUs\":1000000,\"fallMultiple\":3.0,\"fallUs\":2000000}}}}}}",
            self.listen, self.discovery, self.seed, members_json(&self.known), self.classes
        )
    }

    /// Writes the file beside it and renames it.
    pub fn write(&self, path: &Path) {
        let new = path.with_extension("new");
        fs::write(&new, self.json()).expect("the configuration");
        fs::rename(&new, path).expect("the configuration");
    }
}

// --- gRPC over HTTP/2: one stream on a connection ----------------------------------------------------------

pub struct Grpc {
    stream: TcpStream,
    received: Vec<u8>,
    data: Vec<u8>,
    pub ended: bool,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

impl Grpc {
    /// Opens a connection and one call on it.
    pub fn open(address: SocketAddr, path: &str) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
        stream.set_nodelay(true)?;
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        bytes.extend(frame(4, 0, 0, b""));
        let mut block = Vec::new();
        let headers = [
            (":method", "POST"), (":scheme", "http"), (":path", path), (":authority", "processor"),
            ("content-type", "application/grpc"), ("te", "trailers"),
        ];
        for (name, value) in headers {
            block.push(0);
            for text in [name, value] {
                assert!(text.len() < 127);
                block.push(text.len() as u8);
                block.extend_from_slice(text.as_bytes());
            }
        }
        bytes.extend(frame(1, 4, 1, &block));
        stream.write_all(&bytes)?;
        Ok(Self { stream, received: Vec::new(), data: Vec::new(), ended: false })
    }

    pub fn send(&mut self, message: &[u8], is_last: bool) -> io::Result<()> {
        let mut payload = vec![0];
        payload.extend_from_slice(&(message.len() as u32).to_be_bytes());
        payload.extend_from_slice(message);
        self.stream.write_all(&frame(0, u8::from(is_last), 1, &payload))
    }

    /// Ends the sending side of the call.
    pub fn finish(&mut self) {
        let _ = self.stream.write_all(&frame(0, 1, 1, b""));
    }

    /// The next message; `None` if the call ended or nothing came in time.
    pub fn receive(&mut self, limit_ms: u64) -> Option<Vec<u8>> {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            if self.data.len() >= 5 {
                let length = u32::from_be_bytes([self.data[1], self.data[2], self.data[3], self.data[4]]) as usize;
                if self.data.len() >= 5 + length {
                    let rest = self.data.split_off(5 + length);
                    let message = std::mem::replace(&mut self.data, rest).split_off(5);
                    return Some(message);
                }
            }
            if self.ended {
                return None;
            }
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.stream.set_read_timeout(Some(left)).ok()?;
            let mut buffer = [0; 16_384];
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&error.kind()) => return None,
                Err(_) => self.ended = true,
            }
            while self.received.len() >= 9 {
                let length = u32::from_be_bytes([0, self.received[0], self.received[1], self.received[2]]) as usize;
                if self.received.len() < 9 + length {
                    break;
                }
                let rest = self.received.split_off(9 + length);
                let bytes = std::mem::replace(&mut self.received, rest);
                let (kind, flags, payload) = (bytes[3], bytes[4], &bytes[9..]);
                match kind {
                    0 => {
                        self.data.extend_from_slice(payload);
                        self.ended |= flags & 1 != 0;
                    }
                    1 => self.ended |= flags & 1 != 0,
                    3 => self.ended = true,
                    4 if flags & 1 == 0 => {
                        let _ = self.stream.write_all(&frame(4, 1, 0, b""));
                    }
                    6 if flags & 1 == 0 => {
                        let _ = self.stream.write_all(&frame(6, 1, 0, payload));
                    }
                    _ => {}
                }
            }
        }
    }
}

// --- Protocol buffers --------------------------------------------------------------------------------------

pub fn varint(mut value: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    loop {
        let byte = (value & 127) as u8;
        value >>= 7;
        if value == 0 {
            bytes.push(byte);
            return bytes;
        }
        bytes.push(byte | 128);
    }
}

pub fn bytes_field(number: u64, value: &[u8]) -> Vec<u8> {
    let mut bytes = varint(number << 3 | 2);
    bytes.extend(varint(value.len() as u64));
    bytes.extend_from_slice(value);
    bytes
}

pub fn number_field(number: u64, value: u64) -> Vec<u8> {
    let mut bytes = varint(number << 3);
    bytes.extend(varint(value));
    bytes
}

/// The fields of a message: their number, and their bytes or their value.
pub fn fields(mut bytes: &[u8]) -> Vec<(u64, Vec<u8>, u64)> {
    fn take(bytes: &mut &[u8]) -> u64 {
        let (mut value, mut shift) = (0, 0);
        while let Some((&byte, rest)) = bytes.split_first() {
            *bytes = rest;
            value |= u64::from(byte & 127) << shift;
            shift += 7;
            if byte & 128 == 0 {
                break;
            }
        }
        value
    }
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let tag = take(&mut bytes);
        match tag & 7 {
            0 => all.push((tag >> 3, Vec::new(), take(&mut bytes))),
            2 => {
                let length = (take(&mut bytes) as usize).min(bytes.len());
                all.push((tag >> 3, bytes[..length].to_vec(), 0));
                bytes = &bytes[length..];
            }
            1 => bytes = &bytes[8.min(bytes.len())..],
            5 => bytes = &bytes[4.min(bytes.len())..],
            _ => break,
        }
    }
    all
}

/// The bytes of the first field with this number.
pub fn field(bytes: &[u8], number: u64) -> Option<Vec<u8>> {
    fields(bytes).into_iter().find(|(n, ..)| *n == number).map(|(_, bytes, _)| bytes)
}

/// The value of the first field with this number; 0 without one.
pub fn number(bytes: &[u8], number: u64) -> u64 {
    fields(bytes).into_iter().find(|(n, ..)| *n == number).map_or(0, |(.., value)| value)
}

/// A flag that threads share.
pub type Flag = Arc<AtomicBool>;

pub fn is_set(flag: &Flag) -> bool {
    flag.load(Ordering::SeqCst)
}

pub fn set(flag: &Flag) {
    flag.store(true, Ordering::SeqCst);
}

/// Counts by name.
pub type Counts = HashMap<String, u32>;
