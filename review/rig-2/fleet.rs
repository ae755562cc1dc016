//! A whole small deployment: three control instances, entries, sides with runners, and one service.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::deployment::unix_ms;
use crate::deployment::Deployment;
use crate::deployment::Process;
use crate::deployment::Role;
use crate::http::wait_until;
use crate::record::Record;

/// A running deployment. The processes end when it is dropped.
pub struct Fleet {
    // The processes end before the folder is removed.
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub sides: Vec<Process>,
    pub deployment: Deployment,
}

/// A row of the platform's list.
#[derive(Debug, Clone)]
pub struct Row {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub software: &'static str,
    pub slots: u32,
    pub state: &'static str,
    pub born_ms: u64,
    /// The model that the runner has loaded, in version 1; empty for none.
    pub model: &'static str,
}

impl Row {
    pub fn json(&self) -> String {
        let models = match self.model {
            "" => String::new(),
            model => format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}"),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"sala-registro\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{}\",\"coldLeftMs\":0,\"stage\":\"unified\",\
             \"models\":[{models}],\"id\":\"{}\",\"born\":{}}}",
            self.service, self.address, self.software, self.slots, self.state, self.id, self.born_ms
        )
    }
}

/// Returns a runner's report about itself.
pub fn report(model: &str, born_ms: u64, running: usize) -> String {
    format!(
        "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
         \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":95045,\
         \"handles\":0,\"born\":{born_ms},\"state\":\"ready\"}}"
    )
}

/// Returns a service of model runners in a configuration.
pub fn engine_service(name: &str, model: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":95045,\"kvTokenBytes\":18432,\
         \"linkMbps\":370000.0,\"moves\":true,\"backups\":true,\"managed\":true,\"stride\":5,\
         \"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"{model}\"}}]}}}}"
    )
}

/// Returns a configuration of routes, services and tenants, which are JSON objects.
pub fn configuration(
    version: u64,
    routes: &[String],
    services: &[String],
    tenants: &[String],
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

impl Fleet {
    /// Starts the processes, publishes a configuration and waits until the entries are ready. The rows
    /// with a model have a side.
    pub fn start(
        record: &Record,
        entries: u8,
        sides: u8,
        configuration: &str,
        list: impl Fn(&Deployment) -> Vec<Row>,
    ) -> Result<Self, String> {
        let deployment = Deployment::new(record)?;
        let rows: Vec<String> = list(&deployment).iter().map(Row::json).collect();
        deployment.list.set(&rows);
        let controls = (1..=3).map(|n| deployment.start_control(n, 1, true));
        let controls = controls.collect::<Result<Vec<_>, _>>()?;
        let started = (1..=entries).map(|n| deployment.start_entry(n));
        let started = started.collect::<Result<Vec<_>, _>>()?;
        let beside = (1..=sides).map(|n| deployment.start_side(n));
        let beside = beside.collect::<Result<Vec<_>, _>>()?;
        let fleet = Self {
            controls,
            entries: started,
            sides: beside,
            deployment,
        };
        fleet.publish(configuration)?;
        let ready = || (1..=entries).all(|n| fleet.deployment.is_ready(n));
        if !wait_until(Duration::from_secs(15), ready) {
            return Err("the entries are not ready".into());
        }
        // The list, the loads and the connections between the processes are there by then.
        std::thread::sleep(Duration::from_secs(3));
        record.line("the deployment is up");
        Ok(fleet)
    }

    /// Publishes a configuration.
    pub fn publish(&self, configuration: &str) -> Result<(), String> {
        let controls: Vec<IpAddr> = (1..=3)
            .map(|n| self.deployment.ip(Role::Control, n))
            .collect();
        let limit = Duration::from_secs(20);
        let put = self.deployment.operate_until_acknowledged(
            &controls,
            "PUT",
            "/v1/config",
            configuration,
            limit,
        );
        put.map(|_| ())
    }

    /// Fails if one of the processes has ended.
    pub fn check_running(&mut self) -> Result<(), String> {
        let all = self
            .controls
            .iter_mut()
            .chain(&mut self.entries)
            .chain(&mut self.sides);
        for process in all {
            if !process.is_running() {
                return Err(format!("{:?} at {} has ended", process.role, process.ip));
            }
        }
        Ok(())
    }
}

/// Returns the row of a runner that starts now.
pub fn row(id: &str, service: &'static str, address: SocketAddr, model: &'static str) -> Row {
    Row {
        id: id.to_owned(),
        service,
        address,
        software: "v1",
        slots: 64,
        state: "ready",
        born_ms: unix_ms(),
        model,
    }
}
