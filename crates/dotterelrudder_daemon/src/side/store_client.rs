//! Reads and writes of a store's slots.

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

/// How long one slot may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the store is asked for its size until it answers.
const INFO_RETRY_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct InfoResponse {
    slots: u32,
    slot_bytes: u32,
}

/// Writes a slot and posts whether the store took all of it.
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

/// Reads a slot and posts what the store gave.
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

/// Asks the store for its size until it answers.
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
