//! The processes of a small deployment, each role on loopback addresses of its own, and the
//! platform's list of backend servers.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{call, json, serve, Response};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, _: u64, _: u64, _: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/dotterelrudder-platform";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn wait(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// The file that tells what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let began = Instant::now();
        Ok(Self { file, began })
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        // The verdict doesn't depend on the file.
        let _failed = lock(&self.file).write_all(line.as_bytes()).is_err();
    }
}

/// A backend server as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    /// The model of a model runner.
    pub model: Option<&'static str>,
    pub is_leaving: bool,
}

/// The platform's list: its entries, and whether the platform answers now.
#[derive(Clone, Default)]
pub struct List {
    pub entries: Arc<Mutex<Vec<Listed>>>,
    pub is_down: Arc<Mutex<bool>>,
}

impl List {
    fn answer(&self) -> Response {
        if *lock(&self.is_down) {
            return json(503, "{}");
        }
        let entries = lock(&self.entries);
        let rows = entries.iter().map(|e| {
            let state = if e.is_leaving { "draining" } else { "ready" };
            let model = e
                .model
                .map(|m| format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}"));
            format!(
                "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\
                 \"stage\":\"unified\",\"models\":[{}],\"born\":1700000000000}}",
                e.id,
                e.service,
                e.address,
                model.unwrap_or_default()
            )
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        json(200, &format!("{{\"instances\":[{rows}],\"next\":null}}"))
    }

    pub fn set_leaving(&self, id: &str) {
        for entry in lock(&self.entries).iter_mut().filter(|e| e.id == id) {
            entry.is_leaving = true;
        }
    }

    pub fn remove(&self, id: &str) {
        lock(&self.entries).retain(|e| e.id != id);
    }
}

#[derive(Clone, Copy)]
struct Ports {
    link: u16,
    admin: u16,
    listen: u16,
    ready: u16,
    operators: u16,
    list: u16,
    runner: u16,
}

pub struct Deployment {
    folder: PathBuf,
    net: u8,
    ports: Ports,
    processes: Mutex<HashMap<String, Child>>,
    pub list: List,
    pub record: Record,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, mut child) in lock(&self.processes).drain() {
            // It may have ended by itself.
            let _ended = child.kill().is_err();
            let _status = child.wait();
        }
        let _kept = std::fs::remove_dir_all(&self.folder).is_err();
    }
}

impl Deployment {
    /// Chooses free addresses and serves the platform's list.
    pub fn new(record: Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let (net, ports) = free_ports(pid)?;
        let deployment = Self {
            folder,
            net,
            ports,
            processes: Mutex::default(),
            list: List::default(),
            record,
        };
        let list = deployment.list.clone();
        serve(deployment.at(9, 0, ports.list), move |_| {
            Some(list.answer())
        })?;
        Ok(deployment)
    }

    fn at(&self, kind: u8, n: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, kind, n), port)
    }

    pub fn operators(&self, n: u8) -> SocketAddr {
        self.at(1, n, self.ports.operators)
    }

    pub fn entry(&self, n: u8) -> SocketAddr {
        self.at(3, n, self.ports.listen)
    }

    pub fn runner(&self, n: u8) -> SocketAddr {
        self.at(50, n, self.ports.runner)
    }

    /// Adds a backend server to the platform's list.
    pub fn add_listed(&self, id: &str, service: &'static str, address: SocketAddr) {
        self.add(id, service, address, None);
    }

    /// Adds a model runner to the platform's list.
    pub fn add_listed_engine(
        &self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        model: &'static str,
    ) {
        self.add(id, service, address, Some(model));
    }

    fn add(
        &self,
        id: &str,
        service: &'static str,
        address: SocketAddr,
        model: Option<&'static str>,
    ) {
        lock(&self.list.entries).push(Listed {
            id: id.into(),
            service,
            address,
            model,
            is_leaving: false,
        });
    }

    fn common(&self, name: &str) -> String {
        let seeds = (0..3).map(|n| format!("\"{}\"", self.operators(n)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        format!(
            "name = \"{name}\"\ndata_centre = \"z\"\nseeds = [{seeds}]\nlink_port = {}\n",
            self.ports.link
        )
    }

    /// Starts a control instance as `deploy/control.toml.template` sets it up.
    pub fn start_control(&self, n: u8, bootstrap: bool) -> std::io::Result<()> {
        let name = format!("control-{n}");
        let (ip, ports) = (ip(self.net, 1, n), self.ports);
        let own = format!(
            "ip = \"{ip}\"\nadmin = \"{ip}:{}\"\noperators = \"{}\"\ndata_folder = \"{}\"\n\
             bootstrap = {bootstrap}\ntolerated_losses = 1\ninstance_list = \"{}\"\n\
             list_calls_per_s = 47.0\n",
            ports.admin,
            self.operators(n),
            self.folder.join(format!("data-{n}")).display(),
            self.at(9, 0, ports.list),
        );
        self.start(&name, "control", &(self.common(&name) + &own))
    }

    /// Starts an entry as `deploy/entry.toml.template` sets it up.
    pub fn start_entry(&self, n: u8) -> std::io::Result<()> {
        let name = format!("entry-{n}");
        let (ip, ports) = (ip(self.net, 3, n), self.ports);
        let own = format!(
            "admin = \"{ip}:{}\"\nlisten = \"{}\"\nready = \"{ip}:{}\"\n\
             ready_path = \"/v1/readyz\"\nrevoke_ms = 5000\nweights_ms = 10000\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nstop_grace_s = 8\n",
            ports.admin,
            self.entry(n),
            ports.ready,
        );
        self.start(&name, "entry", &(self.common(&name) + &own))
    }

    /// Starts the side beside a model runner as `deploy/side.toml.template` sets it up.
    pub fn start_side(&self, n: u8) -> std::io::Result<()> {
        let name = format!("side-{n}");
        let own = format!(
            "admin = \"{}:{}\"\nrunner = \"{}\"\n",
            ip(self.net, 4, n),
            self.ports.admin,
            self.runner(n)
        );
        self.start(&name, "side", &(self.common(&name) + &own))
    }

    fn start(&self, name: &str, role: &str, settings: &str) -> std::io::Result<()> {
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        command.arg(role).env("DOTTERELRUDDER_CONFIG", path);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with this one, however that ends.
        let end_together = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
            Ok(())
        };
        let child = unsafe { command.pre_exec(end_together) }.spawn()?;
        self.record.line(&format!("{name} starts"));
        lock(&self.processes).insert(name.into(), child);
        Ok(())
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        lock(&self.processes).get(name).map(Child::id)
    }

    pub fn signal(&self, name: &str, signal: i32) {
        self.record.line(&format!("{name} gets signal {signal}"));
        if let Some(pid) = self.pid(name) {
            let _ended = unsafe { kill(pid as i32, signal) } != 0;
        }
    }

    /// Waits until a process has ended.
    pub fn reap(&self, name: &str) {
        let child = lock(&self.processes).remove(name);
        if let Some(mut child) = child {
            let _status = child.wait();
            self.record.line(&format!("{name} has ended"));
        }
    }

    /// Returns the lines of a process's log that hold a text.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Sends an operator's order to one control instance after the other until it is acknowledged.
    pub fn order(&self, controls: &[u8], path: &str, body: &str, limit_s: f64) -> bool {
        let began = Instant::now();
        for n in controls.iter().cycle() {
            if began.elapsed().as_secs_f64() > limit_s {
                return false;
            }
            let method = if path == "/v1/config" { "PUT" } else { "POST" };
            let limit = Duration::from_secs(1);
            let answer = call(
                self.operators(*n),
                method,
                path,
                &[],
                body.as_bytes(),
                limit,
            );
            match answer {
                Ok(answer) if answer.status == 200 => return true,
                _ => wait(0.1),
            }
        }
        false
    }

    /// Reads the configuration back from one of the control instances.
    pub fn read_back(&self, controls: &[u8]) -> Option<String> {
        controls.iter().find_map(|n| {
            let limit = Duration::from_secs(1);
            let answer = call(self.operators(*n), "GET", "/v1/config", &[], b"", limit).ok()?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            (answer.status == 200).then_some(text)
        })
    }

    /// Waits until an entry serves callers.
    pub fn wait_until_ready(&self, n: u8, limit_s: f64) -> bool {
        let began = Instant::now();
        let address = self.at(3, n, self.ports.ready);
        while began.elapsed().as_secs_f64() < limit_s {
            let answer = call(
                address,
                "GET",
                "/v1/readyz",
                &[],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|a| a.status == 200) {
                return true;
            }
            wait(0.1);
        }
        false
    }
}

fn ip(net: u8, kind: u8, n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net, kind, n + 1))
}

/// Returns part of a loopback address, and ports that are free on it.
fn free_ports(pid: u32) -> std::io::Result<(u8, Ports)> {
    let net = 20 + (pid % 200) as u8;
    let probes: Vec<TcpListener> = (0..7)
        .map(|_| TcpListener::bind(SocketAddr::new(ip(net, 1, 0), 0)))
        .collect::<Result<_, _>>()?;
    let mut free = Vec::new();
    for probe in &probes {
        free.push(probe.local_addr()?.port());
    }
    let ports = Ports {
        link: free[0],
        admin: free[1],
        listen: free[2],
        ready: free[3],
        operators: free[4],
        list: free[5],
        runner: free[6],
    };
    Ok((net, ports))
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub path: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
    pub timeout_ms: u32,
}

/// Writes a configuration with plain services and one client account.
pub fn configuration(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|r| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"a.example\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\
             \"timeoutMs\":{},\"targetLatencyMs\":100,\"priority\":1,\"service\":\"{}\",\
             \"maxAttempts\":{},\"public\":false}}",
            r.name, r.path, r.kind, r.timeout_ms, r.service, r.attempts
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"school\",\
         \"apiKeys\":[\"key-of-the-school\"],\"priority\":1}}]}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

pub const HOST: &str = "a.example";
pub const KEY: &str = "key-of-the-school";
