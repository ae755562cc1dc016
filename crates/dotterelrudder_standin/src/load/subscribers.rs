//! Many processes that follow the configuration over real connections, in one process.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_daemon::link::LinkEvent;
use dotterelrudder_daemon::link::LinkHub;
use dotterelrudder_follow::ConfigFollower;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::PROTOCOL_VERSION;
use slog::o;
use slog::Discard;
use slog::Logger;
use tokio::sync::mpsc::unbounded_channel;

/// How often each follower is told the time.
const TICK: Duration = Duration::from_millis(100);

/// Follows the configuration as `count` processes until the process ends.
pub async fn run_subscribers(count: usize, controls: &[(InstanceName, SocketAddr)], secret: &str) {
    let began = Instant::now();
    for number in 0..count {
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            secret: secret.into(),
            name: format!("subscriber-{number}").as_str().into(),
            role: Role::Side,
            data_centre: "bergen".into(),
            incarnation: number as u64,
            revision: Revision(0),
        };
        let (tx, mut rx) = unbounded_channel();
        let log = Logger::root(Discard, o!());
        let hub = LinkHub::new(hello, log, move |event| {
            let _stopped = tx.send(event).is_err();
        });
        hub.set_targets(controls);
        let names = controls.iter().map(|(name, _)| name.clone()).collect();
        tokio::spawn(async move {
            let mut follower = ConfigFollower::new(names);
            loop {
                let mut sends: Vec<(InstanceName, Message)> = Vec::new();
                let event = tokio::time::timeout(TICK, rx.recv()).await;
                let now = began.elapsed();
                match event {
                    Ok(Some(LinkEvent::Opened { peer, .. })) => follower.opened(&peer, &mut sends),
                    Ok(Some(LinkEvent::Closed { peer })) => follower.closed(&peer),
                    Ok(Some(LinkEvent::Message { peer, message, .. })) => {
                        follower.on_message(&peer, &message, now, &mut sends);
                    }
                    Ok(None) => return,
                    Err(_) => follower.tick(now, &mut sends),
                }
                sends
                    .into_iter()
                    .for_each(|(to, message)| hub.send(&to, message));
            }
        });
    }
    std::future::pending::<()>().await;
}
