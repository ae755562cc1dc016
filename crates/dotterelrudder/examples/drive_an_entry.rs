//! Drives an entry's core by hand: one input in, outputs out, no socket and no clock.

use std::time::Duration;

use dotterelrudder::route::prelude::*;
use dotterelrudder::route::RoutingPolicy;

fn main() {
    let mut entry = EntryCore::new(EntrySettings {
        name: "entry-1".into(),
        controls: vec!["control-1".into()],
        incarnation: 1,
        policy: RoutingPolicy::default(),
    });
    let mut out = Vec::new();
    let target = Target::Completion {
        model: "deig-7b".into(),
        prompt: "When does the course begin?".into(),
        max_tokens: 8,
    };
    let request = Input::Request {
        id: 1,
        key: Some("a key".into()),
        target,
        time_limit: Duration::from_secs(5),
        idempotency_key: None,
    };
    entry.handle(Duration::from_secs(1), request, &mut out);
    // Without a confirmed configuration the entry refuses, and says that nothing was run.
    println!("{out:#?}");
}
