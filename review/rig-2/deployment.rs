//! A small deployment on loopback: the project's own processes, each on an address of its own, and the
//! platform's list of backend servers.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::call;
use crate::http::respond;
use crate::http::wait_until;
use crate::http::Message;
use crate::http::Server;
use crate::http::Then;
use crate::record::Record;

const PROGRAM: &str = "target/release/dotterelrudder-platform";
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
/// The number of `prctl` that has a process end with its parent.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
    Side,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Side => "side",
        }
    }
}

/// Ports, alike on all addresses.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    link: u16,
    admin: u16,
    pub operators: u16,
    pub front: u16,
    pub ready: u16,
    pub app: u16,
    list: u16,
}

/// A process of the project; it is killed when it is dropped.
pub struct Process {
    pub role: Role,
    pub ip: IpAddr,
    child: Child,
}

impl Process {
    fn signal(&self, signal: i32) {
        // SAFETY: the call takes two numbers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Asks the process to stop, and waits until it has ended. Returns false if it didn't in time.
    pub fn stop(&mut self, grace: Duration) -> bool {
        self.signal(SIGTERM);
        wait_until(grace, || matches!(self.child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _status = self.child.wait();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            self.kill();
        }
    }
}

/// The platform's list, which shows what was set some time ago.
#[derive(Clone)]
pub struct InstanceList {
    states: Arc<Mutex<Vec<(Instant, String)>>>,
    lag: Duration,
}

impl InstanceList {
    /// Sets the entries, as JSON objects.
    pub fn set(&self, entries: &[String]) {
        let page = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
        self.states.lock().unwrap().push((Instant::now(), page));
    }

    fn page(&self) -> String {
        let states = self.states.lock().unwrap();
        let shown = states.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        let shown = shown.or(states.first());
        let empty = || "{\"instances\":[],\"next\":null}".to_owned();
        shown.map_or_else(empty, |(_, page)| page.clone())
    }
}

/// A deployment with its folder, which is removed at the end.
pub struct Deployment {
    pub ports: Ports,
    pub list: InstanceList,
    pub record: Record,
    net: u8,
    folder: PathBuf,
    seeds: Vec<IpAddr>,
    _list_server: Server,
}

/// Returns a number that differs between runs.
fn random() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since.map_or(0, |d| d.as_nanos() as u64);
    (nanos ^ u64::from(std::process::id()) << 20).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Returns the time since the Unix epoch in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl Deployment {
    /// Finds a free part of loopback and starts the platform's list, which lags by 0.8 s.
    pub fn new(record: &Record) -> Result<Self, String> {
        for attempt in 0..40 {
            let number = random().wrapping_add(attempt * 7919);
            let net = 20 + (number >> 8) as u8 % 200;
            let base = 12_000 + (number >> 16) as u16 % 18_000;
            let ports = Ports {
                link: base,
                admin: base + 1,
                operators: base + 2,
                front: base + 3,
                ready: base + 4,
                app: base + 5,
                list: base + 6,
            };
            let free = (0..7).all(|n| {
                let ip = Ipv4Addr::new(127, net, 1, 1);
                TcpListener::bind((ip, base + n)).is_ok()
            });
            if free {
                return Self::start(record, net, ports);
            }
        }
        Err("no free ports".into())
    }

    fn start(record: &Record, net: u8, ports: Ports) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let list = InstanceList {
            states: Arc::default(),
            lag: Duration::from_millis(800),
        };
        let shown = list.clone();
        let address = SocketAddr::new(Ipv4Addr::new(127, net, 9, 1).into(), ports.list);
        let list_server = Server::start(address, move |_, out| {
            let json = [("Content-Type", "application/json".to_owned())];
            respond(out, "200 OK", &json, shown.page().as_bytes())
        })?;
        let seeds = (1..=3).map(|n| Ipv4Addr::new(127, net, 1, n).into());
        Ok(Self {
            ports,
            list,
            record: record.clone(),
            net,
            folder,
            seeds: seeds.collect(),
            _list_server: list_server,
        })
    }

    /// Returns the address of the `n`th machine of a role, counted from 1.
    pub fn ip(&self, role: Role, n: u8) -> IpAddr {
        let kind = match role {
            Role::Control => 1,
            Role::Entry => 2,
            Role::Side => 3,
        };
        Ipv4Addr::new(127, self.net, kind, n).into()
    }

    /// Returns the address of the runner beside the `n`th side.
    pub fn runner(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.ip(Role::Side, n), self.ports.app)
    }

    /// Starts a control instance on a disk; `disk` tells its disks apart, of which each is empty at first.
    pub fn start_control(&self, n: u8, disk: u8, first_start: bool) -> Result<Process, String> {
        let ip = self.ip(Role::Control, n);
        let data = self.folder.join(format!("disk-{n}-{disk}"));
        let settings = format!(
            "ip = \"{ip}\"\noperators = \"{ip}:{}\"\ndata_folder = \"{}\"\nbootstrap = {first_start}\n\
             tolerated_losses = 1\ninstance_list = \"127.{}.9.1:{}\"\nlist_calls_per_s = 44.0\n\
             memory_mb = 256\nmax_descriptors = 4096\n",
            self.ports.operators,
            data.display(),
            self.net,
            self.ports.list,
        );
        self.spawn(Role::Control, n, &settings)
    }

    /// Starts an entry.
    pub fn start_entry(&self, n: u8) -> Result<Process, String> {
        let ip = self.ip(Role::Entry, n);
        let settings = format!(
            "listen = \"{ip}:{}\"\nready = \"{ip}:{}\"\nready_path = \"/v1/readyz\"\n\
             revoke_ms = 5000\nweights_ms = 10000\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_slack = 56\nstop_grace_s = 8\nmemory_mb = 110\nmax_descriptors = 4100\n",
            self.ports.front, self.ports.ready,
        );
        self.spawn(Role::Entry, n, &settings)
    }

    /// Starts the side beside a runner.
    pub fn start_side(&self, n: u8) -> Result<Process, String> {
        let settings = format!(
            "runner = \"{}\"\nmemory_mb = 192\nmax_descriptors = 4096\n",
            self.runner(n)
        );
        self.spawn(Role::Side, n, &settings)
    }

    fn spawn(&self, role: Role, n: u8, more: &str) -> Result<Process, String> {
        let (ip, name) = (self.ip(role, n), format!("{}-{n}", role.name()));
        let seeds = self.seeds.iter();
        let seeds = seeds.map(|ip| format!("\"{ip}:{}\"", self.ports.operators));
        let settings = format!(
            "name = \"{name}\"\ndata_centre = \"sala-registro\"\nseeds = [{}]\nlink_port = {}\n\
             admin = \"{ip}:{}\"\n{more}",
            seeds.collect::<Vec<String>>().join(","),
            self.ports.link,
            self.ports.admin,
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(role.name())
            .env_clear()
            .env("DOTTERELRUDDER_CONFIG", &path)
            .stdin(std::process::Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.record.line(format!("started {name} at {ip}"));
        Ok(Process { role, ip, child })
    }

    /// Sends an operator's call to one control instance.
    pub fn operate(
        &self,
        ip: IpAddr,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Message, String> {
        let to = SocketAddr::new(ip, self.ports.operators);
        let answered = call(
            to,
            method,
            path,
            &[],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let shown = match &answered {
            Ok(answer) => format!("status {}", answer.status()),
            Err(e) => e.clone(),
        };
        self.record
            .line(format!("operator: {method} {path} at {ip}: {shown}"));
        answered
    }

    /// Sends an operator's call to one control instance after the other until one acknowledges it.
    pub fn operate_until_acknowledged(
        &self,
        controls: &[IpAddr],
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Result<Message, String> {
        let until = Instant::now() + limit;
        for ip in controls.iter().cycle() {
            match self.operate(*ip, method, path, body) {
                Ok(answer) if answer.status() == 200 => return Ok(answer),
                Ok(answer) if answer.status() == 400 => return Err(answer.text()),
                _ if Instant::now() > until => break,
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        Err(format!("{method} {path} was not acknowledged"))
    }

    /// Returns whether an entry says that it is ready.
    pub fn is_ready(&self, n: u8) -> bool {
        let to = SocketAddr::new(self.ip(Role::Entry, n), self.ports.ready);
        let answer = call(to, "GET", "/v1/readyz", &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Returns the address at which callers reach an entry.
    pub fn front(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.ip(Role::Entry, n), self.ports.front)
    }

    /// Copies the log of a process into the record, for lines with one of the words.
    pub fn quote_log(&self, name: &str, words: &[&str]) {
        let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")));
        for line in log.unwrap_or_default().lines() {
            if words.iter().any(|w| line.contains(w)) {
                self.record.line(format!("log of {name}: {line}"));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Answers a request for a path that a stand-in doesn't serve.
pub fn not_served(out: &mut std::net::TcpStream) -> Then {
    respond(out, "404 Not Found", &[], b"")
}
