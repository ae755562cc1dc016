//! Keeps a panic in the work for one caller from ending that caller's connection without an answer.

use std::future::poll_fn;
use std::future::Future;
use std::panic::catch_unwind;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::task::Poll;

/// Runs a future to its end. Returns none if it panicked; what it holds is dropped then.
pub async fn catch_panic<F>(f: F) -> Option<F::Output>
where
    F: Future,
{
    let mut f = pin!(f);
    poll_fn(move |cx| {
        // State that outlives the future is behind locks that tolerate a panic of their holder.
        match catch_unwind(AssertUnwindSafe(|| f.as_mut().poll(cx))) {
            Ok(polled) => polled.map(Some),
            Err(_) => Poll::Ready(None),
        }
    })
    .await
}
