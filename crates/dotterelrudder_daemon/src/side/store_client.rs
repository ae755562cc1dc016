//! The HTTP client for a store: reads and writes its slots, and fetches its size.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_side::BackendStatus;
use dotterelrudder_side::Input;
use dotterelrudder_side::SlotRef;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;

use super::actor::EventSender;
use crate::http_client::HttpClient;

/// The maximum time to read or write one slot, or to fetch the size of the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before fetching the size of the store is tried again.
const INFO_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The response of `/info`: the size of the store.
#[derive(Deserialize)]
struct InfoResponse {
    /// The number of slots.
    slots: u32,
    /// The size of one slot, in bytes.
    slot_bytes: u32,
}

/// Writes a slot and posts whether the store accepted all bytes.
pub(super) async fn write_slot(
    client: HttpClient,
    base: String,
    events: EventSender,
    slot: SlotRef,
    data: Bytes,
) {
    let req = Request::put(format!("{base}/slots/{}", slot.slot)).body(Full::new(data));
    let written = match req {
        Ok(req) => client
            .fetch(req, CALL_TIMEOUT)
            .await
            .is_ok_and(|(status, _)| status == 200),
        Err(_) => false,
    };
    events.post(Input::SlotWritten { slot, written });
}

/// Reads a slot and posts its bytes, or their absence if the read failed.
pub(super) async fn read_slot(
    client: HttpClient,
    base: String,
    events: EventSender,
    slot: SlotRef,
) {
    let data = client
        .get(&format!("{base}/slots/{}", slot.slot), CALL_TIMEOUT)
        .await
        .ok();
    events.post(Input::SlotRead { slot, data });
}

/// Retries to fetch the size of the store until it responds, then posts it once as its status.
pub(super) async fn poll_info(client: HttpClient, base: String, events: EventSender) {
    loop {
        if let Ok(body) = client.get(&format!("{base}/info"), CALL_TIMEOUT).await {
            if let Ok(info) = serde_json::from_slice::<InfoResponse>(&body) {
                events.post(Input::Load(BackendStatus {
                    version: "".into(),
                    slots: info.slots,
                    prefill_rate: 0.0,
                    block_bytes: info.slot_bytes,
                }));
                return;
            }
        }
        tokio::time::sleep(INFO_RETRY_INTERVAL).await;
    }
}
