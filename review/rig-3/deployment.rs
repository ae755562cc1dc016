//! A small deployment: the project's own processes with the commands of the deploy file, each on a
//! loopback address of its own, and the platform's list of runners.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use crate::http;

pub const CONTROLS: u8 = 3;
/// The memory of a machine that runs an entry.
pub const ENTRY_MEMORY_MB: u64 = 110;
const LINK: u16 = 7580;
const ADMIN: u16 = 7581;
const CONTROL: u16 = 8745;
const FRONT: u16 = 8749;
const READY: u16 = 8741;
const LIST: u16 = 8744;
const APP: u16 = 8528;
/// The kinds of addresses: the third byte.
const AT_CONTROL: u8 = 1;
const AT_ENTRY: u8 = 3;
const AT_SIDE: u8 = 4;
const AT_RUNNER: u8 = 50;
const AT_PLATFORM: u8 = 9;
const AT_STORE: u8 = 60;
const STORE: u16 = 8746;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
            path,
        }
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn add<S: AsRef<str>>(&self, line: S) {
        let line = format!("{:8.3} {}", self.at(), line.as_ref());
        println!("{line}");
        lock(&self.lines).push(line);
    }

    pub fn write(&self) {
        let text = lock(&self.lines).join("\n") + "\n";
        std::fs::write(&self.path, text).expect("the record can be written");
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Member {
    Control(u8),
    Entry(u8),
    Side(u8),
}

impl Member {
    fn name(self) -> String {
        match self {
            Self::Control(n) => format!("core-{n}"),
            Self::Entry(n) => format!("front-{n}"),
            Self::Side(n) => format!("side-{n}"),
        }
    }

    fn role(self) -> &'static str {
        match self {
            Self::Control(_) => "control",
            Self::Entry(_) => "entry",
            Self::Side(_) => "side",
        }
    }
}

pub struct Deployment {
    net: u8,
    folder: PathBuf,
    processes: Mutex<BTreeMap<Member, Child>>,
    pub record: Record,
}

fn ip(net: u8, kind: u8, n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, kind, n + 1))
}

/// Returns a second byte under which the ports are free.
fn free_net() -> u8 {
    let start = (std::process::id() % 200) as u8;
    let is_free = |net: &u8| {
        let ports = [
            (AT_CONTROL, CONTROL),
            (AT_CONTROL, LINK),
            (AT_ENTRY, FRONT),
            (AT_PLATFORM, LIST),
            (AT_RUNNER, APP),
        ];
        ports
            .iter()
            .all(|(kind, port)| TcpListener::bind((ip(*net, *kind, 0), *port)).is_ok())
    };
    let nets = (0..200).map(|i| 20 + (start + i) % 200);
    nets.into_iter().find(is_free).expect("an address is free")
}

impl Deployment {
    pub fn new(record: Record) -> Self {
        let net = free_net();
        let nanos = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos());
        let folder = std::env::temp_dir().join(format!("review-3-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        Self {
            net,
            folder,
            processes: Mutex::default(),
            record,
        }
    }

    pub fn entry(&self, n: u8) -> SocketAddr {
        (ip(self.net, AT_ENTRY, n), FRONT).into()
    }

    pub fn ready(&self, n: u8) -> SocketAddr {
        (ip(self.net, AT_ENTRY, n), READY).into()
    }

    pub fn control(&self, n: u8) -> SocketAddr {
        (ip(self.net, AT_CONTROL, n), CONTROL).into()
    }

    pub fn runner(&self, n: u8) -> SocketAddr {
        (ip(self.net, AT_RUNNER, n), APP).into()
    }

    pub fn store(&self) -> SocketAddr {
        (ip(self.net, AT_STORE, 0), STORE).into()
    }

    fn list(&self) -> SocketAddr {
        (ip(self.net, AT_PLATFORM, 0), LIST).into()
    }

    /// Serves the platform's list; `entries` returns its JSON entries.
    pub fn serve_list<F>(&self, entries: F)
    where
        F: Fn() -> Vec<String> + Send + Sync + 'static,
    {
        let handler: http::Handler = Arc::new(move |_, tcp| {
            let body = format!("{{\"instances\":[{}],\"next\":null}}", entries().join(","));
            http::respond(
                tcp,
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            )
        });
        http::serve(self.list(), handler).expect("the list can be served");
    }

    /// Writes the settings file, as the templates of `deploy/` are filled in.
    fn write_settings(&self, member: Member, bootstrap: bool) -> PathBuf {
        let seeds: Vec<String> = (0..CONTROLS)
            .map(|n| format!("\"{}\"", self.control(n)))
            .collect();
        let common = format!(
            "name = \"{}\"\ndata_centre = \"hall\"\nseeds = [{}]\nlink_port = {LINK}\n",
            member.name(),
            seeds.join(",")
        );
        let own = match member {
            Member::Control(n) => {
                let ip = ip(self.net, AT_CONTROL, n);
                let data = self.folder.join(format!("data-{n}"));
                format!(
                    "ip = \"{ip}\"\nadmin = \"{ip}:{ADMIN}\"\noperators = \"{ip}:{CONTROL}\"\n\
                     data_folder = \"{}\"\nbootstrap = {bootstrap}\ntolerated_losses = 1\n\
                     instance_list = \"{}\"\nlist_calls_per_s = 47.0\nmemory_mb = 256\nmax_descriptors = 4096\n",
                    data.display(),
                    self.list()
                )
            }
            Member::Entry(n) => {
                let ip = ip(self.net, AT_ENTRY, n);
                format!(
                    "admin = \"{ip}:{ADMIN}\"\nlisten = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\n\
                     ready_path = \"/v1/readyz\"\nrevoke_ms = 5000\nweights_ms = 10000\nretry_ratio = 0.2\n\
                     retry_window_s = 10\nretry_slack = 58\nstop_grace_s = 8\nmemory_mb = {ENTRY_MEMORY_MB}\nmax_descriptors = 4100\n"
                )
            }
            Member::Side(n) => format!(
                "admin = \"{}:{ADMIN}\"\nrunner = \"{}\"\nmemory_mb = 192\nmax_descriptors = 4096\n",
                ip(self.net, AT_SIDE, n),
                self.runner(n)
            ),
        };
        let path = self.folder.join(format!("{}.toml", member.name()));
        std::fs::write(&path, common + &own).expect("settings can be written");
        path
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, member: Member, bootstrap: bool) {
        let settings = self.write_settings(member, bootstrap);
        let log = self.folder.join(format!("{}.log", member.name()));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log opens");
        let errors = log.try_clone().expect("a log opens");
        let child = Command::new("target/release/dotterelrudder-platform")
            .arg(member.role())
            .env("DOTTERELRUDDER_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        lock(&STARTED).push(child.id());
        lock(&self.processes).insert(member, child);
    }

    /// Sends a signal to a process of the deployment.
    pub fn signal(&self, member: Member, signal: &str) {
        let id = lock(&self.processes)
            .get(&member)
            .map(Child::id)
            .expect("it runs");
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status();
        self.record.add(format!(
            "{signal} to {}: {}",
            member.name(),
            sent.is_ok_and(|s| s.success())
        ));
    }

    /// Waits for the end of a process that was asked to end; kills it after `limit`.
    pub fn reap(&self, member: Member, limit: Duration) {
        let child = lock(&self.processes).remove(&member);
        let Some(mut child) = child else { return };
        let began = Instant::now();
        while began.elapsed() < limit {
            if child.try_wait().is_ok_and(|s| s.is_some()) {
                forget(child.id());
                self.record.add(format!("{} ended", member.name()));
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _killed = child.kill();
        let _status = child.wait();
        forget(child.id());
        self.record.add(format!("{} killed", member.name()));
    }

    /// Returns whether a process still runs.
    pub fn runs(&self, member: Member) -> bool {
        let mut processes = lock(&self.processes);
        processes
            .get_mut(&member)
            .is_some_and(|c| c.try_wait().is_ok_and(|s| s.is_none()))
    }

    /// Returns the memory that a process uses now.
    pub fn memory_mb(&self, member: Member) -> u64 {
        let id = lock(&self.processes)
            .get(&member)
            .map(Child::id)
            .unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Sends an operator's call to the control instances in turn until one acknowledges it.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Result<(), String> {
        let began = Instant::now();
        let mut last = String::from("no answer");
        let mut n = 0;
        while began.elapsed() < limit {
            let address = self.control(n % CONTROLS);
            n += 1;
            let headers: [(&str, &[u8]); 1] = [("Content-Type", b"application/json")];
            match http::call(
                address,
                method,
                path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            ) {
                Some(reply) if reply.message.status() == 200 => {
                    self.record.add(format!(
                        "operator: {method} {path} acknowledged by core-{}",
                        (n - 1) % CONTROLS
                    ));
                    return Ok(());
                }
                Some(reply) => {
                    last = format!(
                        "{} {}",
                        reply.message.status(),
                        String::from_utf8_lossy(&reply.message.body)
                    )
                }
                None => {}
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("{method} {path} was not acknowledged: {last}"))
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, n: u8, limit: Duration) -> Result<(), String> {
        let began = Instant::now();
        while began.elapsed() < limit {
            let reply = http::call(
                self.ready(n),
                "GET",
                "/v1/readyz",
                &[],
                b"",
                Duration::from_millis(500),
            );
            if reply.is_some_and(|r| r.message.status() == 200) {
                self.record.add(format!("front-{n} is ready"));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("front-{n} was not ready within {limit:?}"))
    }
}

/// The ids of all processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Removes the id of a process that has ended.
fn forget(id: u32) {
    lock(&STARTED).retain(|known| *known != id);
}

/// Ends all processes that were started.
pub fn end_all() {
    for id in lock(&STARTED).iter() {
        let _sent = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .status();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in lock(&self.processes).iter_mut() {
            let _killed = child.kill();
            let _status = child.wait();
            forget(child.id());
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }
}
