//! A control instance is replaced as planned, the new one first; then another one loses its disk. With the
//! variable `SECOND=removed`, two are replaced as planned, one shortly after the other, and nothing is lost.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::Role;
use crate::record::Record;
use crate::Outcome;

/// `catchUpS` of the site: how long a new machine counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `recoverS` of the site.
pub const RECOVER: Duration = Duration::from_secs(12);
/// The time between the end of the replaced instance and the loss of the next one.
const PAUSE: Duration = Duration::from_millis(500);
/// How long the configuration is requested at the end; `contactMs` of the site is 3 s.
pub const READ_BACK: Duration = Duration::from_secs(15);

pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"bids.example\",\
         \"pathPrefix\":\"/bid/\",\"kind\":\"unsafe\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\
         \"priority\":0,\"service\":\"bids\",\"maxAttempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"bids\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[\"key-of-t1\"],\"priority\":1}}]}}"
    )
}

pub fn play(record: &Record, with_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::new(record)?;
    deployment.list.set(&[]);
    let ip = |n| deployment.ip(Role::Control, n);
    let mut first: Vec<_> = (1..=3)
        .map(|n| deployment.start_control(n, 1, true))
        .collect::<Result<_, _>>()?;
    let all: Vec<IpAddr> = (1..=3).map(ip).collect();
    let put = |controls: &[IpAddr], version| {
        let body = configuration(version);
        let limit = Duration::from_secs(20);
        deployment.operate_until_acknowledged(controls, "PUT", "/v1/config", &body, limit)
    };
    put(&all, 1)?;

    let two_replaced = std::env::var("SECOND").is_ok_and(|v| v == "removed");
    record.line("the new control instance 4 starts, at a new address and with an empty disk");
    let mut new = vec![deployment.start_control(4, 1, false)?];
    if two_replaced {
        record.line("and so does the new control instance 5");
        new.push(deployment.start_control(5, 1, false)?);
    }
    std::thread::sleep(CATCH_UP + Duration::from_secs(2));
    let all: Vec<IpAddr> = all.into_iter().chain(new.iter().map(|p| p.ip)).collect();
    put(&all, 2)?;

    record.line("control instance 3 is asked to stop, and is removed for good");
    if !first[2].stop(Duration::from_secs(8)) {
        return Err("control instance 3 did not stop".into());
    }
    record.line("control instance 3 has ended");
    let stopped = Instant::now();
    let mut left = vec![1, 2, 4];
    std::thread::sleep(PAUSE);

    if with_trouble && two_replaced {
        record.line("control instance 2 is asked to stop, and is removed for good");
        if !first[1].stop(Duration::from_secs(8)) {
            return Err("control instance 2 did not stop".into());
        }
        record.line("control instance 2 has ended");
        left = vec![1, 4, 5];
    } else if with_trouble {
        record.line("control instance 2 loses power and its disk");
        first[1].kill();
        std::thread::sleep(Duration::from_secs(1));
        record.line("control instance 2 is back at its address, with an empty disk");
        first[1] = deployment.start_control(2, 2, false)?;
    }
    let back = Instant::now();
    std::thread::sleep(RECOVER + Duration::from_secs(2));

    if let Some(read) = is_read_back(&deployment, &left, READ_BACK) {
        return Ok(read);
    }
    let (since_stop, since_back) = (stopped.elapsed().as_secs(), back.elapsed().as_secs());
    Ok(Outcome::Broken(format!(
        "the acknowledged configuration is not read back from any control instance, {since_stop} s \
         after the replaced one stopped and {since_back} s after all others are back"
    )))
}

/// Requests the configuration from the instances in turn, for `limit`. Returns what came back; if nothing
/// did, quotes what the instances logged of the members of the replicated log.
pub fn is_read_back(deployment: &Deployment, instances: &[u8], limit: Duration) -> Option<Outcome> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        for n in instances {
            let ip = deployment.ip(Role::Control, *n);
            let Ok(answer) = deployment.operate(ip, "GET", "/v1/config", "") else {
                continue;
            };
            if answer.status() == 200 {
                return Some(match answer.text() == configuration(2) {
                    true => Outcome::Held,
                    false => Outcome::Broken(format!("read back: {}", answer.text())),
                });
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    for n in instances {
        deployment.quote_log(
            &format!("control-{n}"),
            &["standing in the log", "identity"],
        );
    }
    None
}
