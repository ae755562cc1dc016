//! A panic in the work for one caller ends that work alone.

use std::sync::Arc;

use dotterelrudder_daemon::catch_panic::catch_panic;

#[tokio::test]
async fn a_panic_after_a_wait_drops_the_future_and_leaves_the_task() {
    let held = Arc::new(());
    let own = held.clone();
    let panicking = async move {
        tokio::task::yield_now().await;
        assert_eq!(Arc::strong_count(&own), 0, "a panic of the test");
    };
    assert_eq!(catch_panic(panicking).await, None);
    assert_eq!(Arc::strong_count(&held), 1);
    assert_eq!(catch_panic(async { 7 }).await, Some(7));
}
