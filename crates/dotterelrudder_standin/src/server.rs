//! Starts a stand-in's HTTP server.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use dotterelrudder_daemon::http_server;
use dotterelrudder_daemon::http_server::AnswerBody;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

/// A request that was read whole.
#[derive(Debug)]
pub struct WholeRequest {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The query, empty when there is none.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

impl WholeRequest {
    /// Returns the value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Builds a JSON answer.
pub fn json(status: u16, value: &serde_json::Value) -> Response<AnswerBody> {
    http_server::answer(status, "application/json", value.to_string())
}

/// Builds the answer for an unknown path.
pub fn not_found() -> Response<AnswerBody> {
    http_server::answer(404, "text/plain", "not found\n")
}

async fn read_whole(req: Request<Incoming>) -> Option<WholeRequest> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(WholeRequest {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        body,
    })
}

/// Serves whole requests until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> Result<(), String>
where
    H: Fn(WholeRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let (_stop, stopped) = watch::channel(false);
    let connections = http_server::serve(address, stopped, move |req| {
        let handler = handler.clone();
        async move {
            match read_whole(req).await {
                Some(whole) => handler(whole).await,
                None => http_server::answer(400, "text/plain", "broken body\n"),
            }
        }
    });
    connections.await?.closed().await;
    Ok(())
}
