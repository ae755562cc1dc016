//! A response body looks complete only if its task says so.

use bytes::Bytes;
use dotterelrudder_daemon::task_body::ResponseAborted;
use dotterelrudder_daemon::task_body::TaskBody;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// How the task that feeds a body ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Complete,
    Aborted,
    Panic,
    Cancelled,
}

async fn feed(tx: mpsc::Sender<Bytes>, end: End) -> Result<(), ResponseAborted> {
    for chunk in ["a", "b"] {
        let _closed = tx.send(Bytes::from(chunk)).await.is_err();
    }
    match end {
        End::Complete => Ok(()),
        End::Aborted => Err(ResponseAborted("the stream failed")),
        End::Panic => panic!("a fault of the relay"),
        End::Cancelled => std::future::pending().await,
    }
}

/// Reads a body; returns its chunks, and whether it looks complete.
async fn read(end: End) -> (Vec<Bytes>, bool) {
    let (tx, rx) = mpsc::channel(1);
    let task: JoinHandle<_> = tokio::spawn(feed(tx, end));
    let cancel = task.abort_handle();
    let mut body = TaskBody::new(rx, task);
    let mut chunks = Vec::new();
    while chunks.len() < 2 {
        let frame = body.frame().await.expect("a chunk").expect("no end yet");
        chunks.push(frame.into_data().expect("data"));
    }
    if matches!(end, End::Cancelled) {
        cancel.abort();
    }
    let complete = body.frame().await.is_none();
    (chunks, complete)
}

#[tokio::test]
async fn a_body_whose_task_ends_by_a_panic_never_looks_complete() {
    for end in [End::Complete, End::Aborted, End::Panic, End::Cancelled] {
        let (chunks, complete) = read(end).await;
        assert_eq!(chunks, ["a", "b"]);
        assert_eq!(complete, matches!(end, End::Complete), "{end:?}");
    }
}
