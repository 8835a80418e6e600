//! Shared parts of the review cases: HTTP/1.1 over plain sockets, stand-ins for discovery and backends, the
//! proxy as a child process, and the record of a run. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit code of a run that could not be carried out.
pub const CANNOT_RUN: i32 = 2;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Whether the disruption takes place (`TROUBLE=0`: no).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Pseudo-random numbers with a fixed seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }
}

/// What was sent, answered and run, with times in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file that `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        match File::create(&path) {
            Ok(file) => Self { file: Arc::new(Mutex::new(file)), start: Instant::now() },
            Err(error) => cannot_run(&format!("{path}: {error}")),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} {text}");
    }

    /// Writes a line into the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn cannot_run(reason: &str) -> ! {
    println!("cannot run: {reason}");
    exit(CANNOT_RUN)
}

/// The first line and the headers (names in lower case) of a message.
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection that carries HTTP/1.1 messages.
pub struct Http {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Head> {
        let line = self.take_line()?;
        let mut headers = HashMap::new();
        loop {
            let field = self.take_line()?;
            if field.is_empty() {
                return Ok(Head { line, headers });
            }
            if let Some((name, value)) = field.split_once(':') {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_empty() {
            return self.take(head.header("content-length").parse().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }
}

/// Listens on a free loopback port and serves each connection on a thread of its own.
pub fn listen(serve: impl Fn(Http) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = match TcpListener::bind("127.0.0.1:0") {
        Ok(listener) => listener,
        Err(error) => cannot_run(&format!("listen: {error}")),
    };
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(Http::new(stream)));
        }
    });
    address
}

/// A free loopback port, below those that the system gives to outgoing connections. No two calls return the same.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 1_000) as u16 * 10;
    for _ in 0..1_000 {
        let port = 20_000 + start + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// A backend as discovery lists it.
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
}

/// The entries of a list, in discovery's form.
pub fn members_json(members: &[Member]) -> String {
    let entries = members.iter().map(|Member { id, address, cell }| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"std-1core","cell":{cell},"phase":"active","size":1.0,"up_since_ms":0}}"#
        )
    });
    format!("[{}]", entries.collect::<Vec<_>>().join(","))
}

/// Discovery on the proxy's machine (lists are pushed) with a list that does not change.
pub fn discovery(members: String) -> SocketAddr {
    listen(move |mut http| {
        loop {
            let head = http.head()?;
            let target = head.line.split(' ').nth(1).unwrap_or("").to_owned();
            let parameter = |name: &str| {
                let (_, query) = target.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let list = match parameter("after") {
                Some(1) => {
                    thread::sleep(ms(parameter("wait_ms").unwrap_or(0).min(60_000)));
                    r#"{"revision":1,"complete":false,"members":[]}"#.to_owned()
                }
                _ => format!(r#"{{"revision":1,"complete":true,"members":{members}}}"#),
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            http.stream.write_all((head + &list).as_bytes())?;
        }
    })
}

/// The classes of `deploy/sample-config.json`, with some keys of `submit` to choose.
pub fn classes_json(submit_group: &str, submit_aim_us: u64) -> String {
    format!(
        r#"[{{"name":"read","effect":"retryable","aimUs":540000,"deadlineUs":1350000,"worth":1.0,"lateWorth":0.3}},
        {{"name":"submit","effect":"dedup","group":"{submit_group}","keyTtlUs":3000000,"aimUs":{submit_aim_us},
         "deadlineUs":2620000,"worth":3.0,"lateWorth":0.3}}]"#
    )
}

/// What differs between the configurations of the cases; the rest is as in `deploy/sample-config.json`.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub members: String,
    pub classes: String,
}

impl Config {
    pub fn json(&self) -> String {
        let Self { listen, discovery, memory_mb, sockets, members, classes } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
            "known":{{"revision":1,"complete":true,"members":{members}}},
            "settings":{{"me":0,"balancers":1,"zone":0,"failureDomains":["north"],"kinds":["std-1core"],
            "membershipMode":"pushed","classes":{classes},"tenants":[],
            "penalties":{{"crossZone":0.12,"probe":0.01}},
            "permissions":{{"maxAttempts":5,"secondCopies":false,"cancel":true,"probes":false,
            "connIdleUs":15000000,"multiplex":1,"retryAfter":true,"maxRetryAfterUs":2000000,"dialTimeoutUs":250000}},
            "safety":{{"askWithinUs":10000000,"coldFrom":0.33,"coldUs":8200000,"fallMultiple":3.0,"fallUs":2000000}}}}}}"#
        )
    }
}

/// The proxy as a child process, ended when this is dropped.
pub struct Proxy {
    child: Child,
    folder: PathBuf,
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts the proxy with the line `run` of `deploy/balancer.toml` and waits until `/up` answers 200.
    pub fn start(config: &Config) -> Self {
        Self::start_with(config, |_| None)
    }

    /// The same with the external processor, which answers callers at this address.
    pub fn start_with_processor(config: &Config, processor: SocketAddr) -> Self {
        Self::start_with(config, |folder| {
            let file = folder.join("extproc.toml");
            let text = format!("listen = \"{processor}\"\nreflection = false\n");
            if let Err(error) = std::fs::write(&file, text) {
                cannot_run(&format!("{}: {error}", file.display()));
            }
            Some(("EDGE_EXTPROC", file))
        })
    }

    fn start_with(
        config: &Config,
        variable: impl FnOnce(&std::path::Path) -> Option<(&'static str, PathBuf)>,
    ) -> Self {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let Some(run) = run else { cannot_run("deploy/balancer.toml has no line `run`") };
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| ".".into()));
        let proxy_folder = folder.join("proxy");
        let log =
            std::fs::create_dir_all(&proxy_folder).and_then(|()| File::create(folder.join("proxy.log")));
        let log = log.unwrap_or_else(|error| cannot_run(&format!("{}: {error}", folder.display())));
        write_config(&folder, config);
        let command = Command::new("/bin/sh")
            .args(["-c", run])
            .env("EDGE_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &proxy_folder)
            .envs(variable(&folder))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = command.unwrap_or_else(|error| cannot_run(&format!("{run}: {error}")));
        let _ = std::fs::write(folder.join("proxy.pid"), child.id().to_string());
        let mut proxy = Self { child, folder, address: config.listen };
        let end = Instant::now() + ms(10_000);
        while !proxy.is_up() {
            if Instant::now() > end || proxy.has_ended() {
                let log = std::fs::read_to_string(proxy.folder.join("proxy.log")).unwrap_or_default();
                drop(proxy);
                cannot_run(&format!("the proxy is not up: {log}"));
            }
            thread::sleep(ms(50));
        }
        proxy
    }

    fn is_up(&self) -> bool {
        let answered = Http::connect(self.address, ms(500)).and_then(|mut http| {
            http.stream.set_read_timeout(Some(ms(500)))?;
            http.stream.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
            http.head()
        });
        answered.is_ok_and(|head| head.status() == 200)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &Config) {
        write_config(&self.folder, config);
        let sent = Command::new("/bin/sh").args(["-c", &format!("kill -HUP {}", self.child.id())]).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("SIGHUP could not be sent");
        }
    }

    /// The proxy's log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("proxy.log")).unwrap_or_default()
    }
}

fn write_config(folder: &std::path::Path, config: &Config) {
    let new = folder.join("config.new");
    let written = std::fs::write(&new, config.json());
    if let Err(error) = written.and_then(|()| std::fs::rename(&new, folder.join("config.json"))) {
        cannot_run(&format!("configuration: {error}"));
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.folder.join("proxy.pid"));
    }
}

/// Ends a process at once.
pub fn end_process(process: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
}

/// The head of a client's request. A request with a key is a POST with a body of `body` bytes.
pub fn request_head(id: &str, class: &str, time_left_ms: u64, key: Option<&str>, body: usize) -> String {
    let common = format!(
        "/{class}/x HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\n"
    );
    match key {
        Some(key) => format!("POST {common}Idempotency-Key: {key}\r\nContent-Length: {body}\r\n\r\n"),
        None => format!("GET {common}\r\n"),
    }
}

/// Ends the run with the verdict.
pub fn finish(record: &Record, proxy: Proxy, broken: usize, what: &str) -> ! {
    let log = proxy.log();
    drop(proxy);
    log.lines().for_each(|line| record.line(&format!("proxy's log: {line}")));
    if broken > 0 {
        record.say(&format!("BROKEN: {broken} {what}"));
        exit(1);
    }
    record.say(&format!("held: 0 {what}"));
    exit(0)
}
