//! The HTTP client for a plain service: forwards a call to the backend server and passes the
//! response through.

use compact_str::CompactString;
use dotterelrudder_side::Input;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Usage;
use dotterelrudder_wire::Work;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use super::actor::EventSender;
use crate::http_client::CallError;
use crate::http_client::HttpClient;

/// Calls the service once, without a retry, and posts the events of its response.
pub(super) async fn call_service(
    client: HttpClient,
    base: String,
    events: EventSender,
    run: u64,
    start: Box<Start>,
) {
    if let Err(error) = try_call_service(&client, &base, &events, run, &start).await {
        let detail = CompactString::from(format!("service: {}", error.detail));
        events.post(Input::RunFailed {
            run,
            called: error.sent,
            detail,
        });
    }
}

async fn try_call_service(
    client: &HttpClient,
    base: &str,
    events: &EventSender,
    run: u64,
    start: &Start,
) -> Result<(), CallError> {
    let error_before_send = |detail: String| CallError {
        sent: false,
        detail,
    };
    let Work::Call {
        method,
        path,
        content_type,
        body,
    } = &start.work
    else {
        return Err(error_before_send(
            "a plain service takes plain calls only".into(),
        ));
    };
    let mut req = Request::builder()
        .method(method.as_str())
        .uri(format!("{base}{path}"));
    if !content_type.is_empty() {
        req = req.header("content-type", content_type.as_str());
    }
    req = req.header("x-client-account", start.account.as_str());
    let req = req
        .body(Full::new(body.clone()))
        .map_err(|e| error_before_send(e.to_string()))?;
    let response = client.send(req).await?;
    let header = response.headers().get("content-type");
    let content_type = header.and_then(|v| v.to_str().ok()).unwrap_or_default();
    events.post(Input::RunStarted {
        run,
        version: "".into(),
        status: response.status().as_u16(),
        content_type: content_type.into(),
    });
    let mut body = response.into_body();
    let mut share = client.begin_response();
    let error_after_send = |detail: String| CallError { sent: true, detail };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| error_after_send(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            share.add(data.len()).map_err(error_after_send)?;
            events.post(Input::RunChunk { run, data });
        }
    }
    events.post(Input::RunFinished {
        run,
        usage: Usage::default(),
    });
    Ok(())
}
