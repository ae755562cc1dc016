//! The hot steps of each role.
#![expect(
    missing_docs,
    reason = "criterion_group writes an undocumented function"
)]

use std::time::Duration;

use bytes::BytesMut;
use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BatchSize;
use criterion::Criterion;
use dotterelrudder::route::Input;
use dotterelrudder::types::BlockKey;
use dotterelrudder::types::Revision;
use dotterelrudder::wire::encode_frame;
use dotterelrudder::wire::AnswerChunk;
use dotterelrudder::wire::Envelope;
use dotterelrudder::wire::FrameDecoder;
use dotterelrudder::wire::Message;

#[path = "../examples/support/mod.rs"]
mod support;

fn route(c: &mut Criterion) {
    for runners in [100, 1_000] {
        let mut entry = support::entry_with_runners(runners);
        let mut id = 0;
        c.bench_function(&format!("route one request among {runners} runners"), |b| {
            b.iter(|| {
                id += 1;
                let mut out = Vec::new();
                entry.handle(support::NOW, support::request(id, 800), &mut out);
                entry.handle(support::NOW, Input::CallerGone { id }, &mut out);
                out.len()
            });
        });
    }
}

fn directory(c: &mut Criterion) {
    let mut entry = support::entry_with_runners(100);
    let mut sequence = 0;
    c.bench_function("one directory update of 8 blocks", |b| {
        b.iter(|| {
            sequence += 1;
            let mut key = [0; 16];
            key[..8].copy_from_slice(&u64::to_le_bytes(sequence));
            let added = (0..8).map(|n| {
                key[15] = n;
                BlockKey(key)
            });
            let message = Message::Blocks {
                sequence,
                whole: false,
                added: added.collect(),
                removed: Vec::new(),
            };
            let from = "side-1".into();
            let input = Input::Message {
                from,
                revision: Revision(1),
                message,
            };
            entry.handle(support::NOW, input, &mut Vec::new());
        });
    });
}

fn log(c: &mut Criterion) {
    c.bench_function("append, sync and apply one entry", |b| {
        b.iter_batched_ref(
            support::single_control,
            |(control, sequence)| support::log_one_change(control, sequence),
            BatchSize::LargeInput,
        );
    });
}

fn frames(c: &mut Criterion) {
    let attempt = dotterelrudder::types::AttemptId {
        incarnation: 1,
        sequence: 2,
    };
    let chunk = AnswerChunk {
        attempt,
        number: 3,
        data: " abc".into(),
    };
    let envelope = Envelope {
        revision: Revision(9),
        message: Message::AnswerChunk(chunk),
    };
    c.bench_function("one frame out and in", |b| {
        let mut buf = BytesMut::new();
        let mut decoder = FrameDecoder::default();
        b.iter(|| {
            buf.clear();
            encode_frame(&envelope, &mut buf).expect("small");
            decoder.push(&buf);
            decoder.take_message::<Envelope>()
        });
    });
}

fn admission(c: &mut Criterion) {
    let mut side = support::ready_side();
    let mut sequence = 0;
    c.bench_function("admit and run one attempt at a side", |b| {
        b.iter(|| {
            sequence += 1;
            support::run_attempt(&mut side, sequence, Duration::from_millis(sequence))
        });
    });
}

criterion_group! {
    name = hot_steps;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = route, directory, log, frames, admission
}
criterion_main!(hot_steps);
