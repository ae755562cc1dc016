//! Control has one instance more than voters. One voter and the spare lose power, one after the other, and
//! then another voter loses its disk. All come back, and all but that one with their disks.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use crate::core_replaced::configuration;
use crate::core_replaced::is_read_back;
use crate::core_replaced::READ_BACK;
use crate::core_replaced::RECOVER;
use crate::deployment::Deployment;
use crate::deployment::Role;
use crate::record::Record;
use crate::Outcome;

/// `catchUpS` of the site, and a little more.
const CATCH_UP: Duration = Duration::from_secs(6);
/// From the loss of the voter to that of the spare.
const SECOND: Duration = Duration::from_secs(2);
/// From the loss of the spare to that of the disk.
const THIRD: Duration = Duration::from_secs(4);
/// How long the machine that loses its disk is down, and how long the others still are then.
const DOWN: Duration = Duration::from_secs(1);
/// The instances; 4 is the one that was added.
const INSTANCES: [u8; 4] = [1, 2, 3, 4];

pub fn play(record: &Record, with_trouble: bool) -> Result<Outcome, String> {
    let deployment = Deployment::new(record)?;
    deployment.list.set(&[]);
    let ips: Vec<IpAddr> = INSTANCES.map(|n| deployment.ip(Role::Control, n)).into();
    let mut controls = Vec::new();
    for n in 1..=3 {
        controls.push(deployment.start_control(n, 1, true)?);
    }
    let limit = Duration::from_secs(20);
    deployment.operate_until_acknowledged(
        &ips[..3],
        "PUT",
        "/v1/config",
        &configuration(1),
        limit,
    )?;
    record.line("the new control instance 4 starts, at a new address and with an empty disk");
    controls.push(deployment.start_control(4, 1, false)?);
    std::thread::sleep(CATCH_UP);
    deployment.operate_until_acknowledged(&ips, "PUT", "/v1/config", &configuration(2), limit)?;

    if with_trouble {
        record.line("control instance 3 loses power; its disk stays");
        controls[2].kill();
        std::thread::sleep(SECOND);
        record.line("control instance 4 loses power; its disk stays");
        controls[3].kill();
        std::thread::sleep(THIRD);
        record.line("control instance 2 loses power and its disk");
        controls[1].kill();
        std::thread::sleep(DOWN);
        record.line("control instance 2 is back at its address, with an empty disk");
        controls[1] = deployment.start_control(2, 2, false)?;
        std::thread::sleep(DOWN);
        record.line("control instances 3 and 4 are back, with their disks");
        controls[2] = deployment.start_control(3, 1, false)?;
        controls[3] = deployment.start_control(4, 1, false)?;
    }
    let back = Instant::now();
    std::thread::sleep(RECOVER + Duration::from_secs(2));
    if let Some(read) = is_read_back(&deployment, &INSTANCES, READ_BACK) {
        return Ok(read);
    }
    let since_back = back.elapsed().as_secs();
    Ok(Outcome::Broken(format!(
        "the acknowledged configuration is not read back from any control instance, {since_back} s \
         after all are back; one disk was lost"
    )))
}
