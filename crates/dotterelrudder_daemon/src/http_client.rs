//! An HTTP client with pooled connections and time limits.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::response_limits::ResponseLimits;
use crate::response_share::ResponseShare;

/// Largest body of a response that a client reads without further settings, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest size of all bodies that its clones read at the same time, in bytes.
const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;
/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time limit for a new TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The failure of a call.
#[derive(Debug, Clone)]
pub struct CallError {
    /// Whether part of the request may have reached the server. If false, the call can be repeated
    /// without the risk that the server runs it twice.
    pub sent: bool,
    /// Description of the error with its causes.
    pub detail: String,
}

/// An HTTP client; clones share the pool of connections and the limits on responses.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    limits: ResponseLimits,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_limits(ResponseLimits::new(MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES))
    }
}

impl HttpClient {
    /// Builds a client that reads responses within these limits.
    pub fn with_limits(limits: ResponseLimits) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.http1_max_buf_size(MAX_HEAD_BYTES);
        Self {
            client: builder.build(connector),
            limits,
        }
    }

    /// Begins to count the bytes of a response that the caller reads by itself.
    pub fn begin_response(&self) -> ResponseShare {
        self.limits.begin()
    }

    /// Sends a request and returns the response as soon as its header has arrived, with the body
    /// unread.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot be reached or the connection fails before the
    /// response's header is complete.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.client.request(req).await.map_err(|e| CallError {
            sent: !e.is_connect(),
            detail: error_with_causes(&e),
        })
    }

    /// Sends a request and reads the whole response within `time_limit`; returns its status and
    /// body.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails, takes longer than `time_limit`, or the body exceeds the
    /// limits of the client.
    pub async fn fetch(
        &self,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = async {
            let response = self.send(req).await?;
            let status = response.status().as_u16();
            let body = self.read_body(response.into_body()).await;
            let body = body.map_err(|detail| CallError { sent: true, detail })?;
            Ok((status, body))
        };
        let timed_out = CallError {
            sent: true,
            detail: "timed out waiting for the response".into(),
        };
        tokio::time::timeout(time_limit, exchange)
            .await
            .unwrap_or(Err(timed_out))
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut share = self.begin_response();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(|e| e.to_string())?.into_data() else {
                continue;
            };
            share.add(part.len())?;
            bytes.extend_from_slice(&part);
        }
        Ok(bytes.freeze())
    }

    /// Sends a JSON document by POST and returns the status of the response, whatever it is.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`].
    pub async fn post_json(
        &self,
        url: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<u16, CallError> {
        let req = Request::post(url)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let (status, _) = self
            .fetch(req.map_err(invalid_request)?, time_limit)
            .await?;
        Ok(status)
    }

    /// Fetches a document by GET and returns its body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`], and for any status outside 200 to 299.
    pub async fn get(&self, url: &str, time_limit: Duration) -> Result<Bytes, CallError> {
        self.get_with(url, None, time_limit).await
    }

    /// Fetches a document by GET with an additional header and returns its body.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::fetch`], and for any status outside 200 to 299.
    pub async fn get_with(
        &self,
        url: &str,
        header: Option<(&'static str, String)>,
        time_limit: Duration,
    ) -> Result<Bytes, CallError> {
        let mut req = Request::get(url);
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        let req = req.body(Full::default());
        match self
            .fetch(req.map_err(invalid_request)?, time_limit)
            .await?
        {
            (200..=299, body) => Ok(body),
            (status, _) => Err(CallError {
                sent: true,
                detail: format!("GET {url}: status {status}, expected 200 to 299"),
            }),
        }
    }
}

/// Converts the error of a request that could not be built, such as one with an invalid URL.
fn invalid_request(error: http::Error) -> CallError {
    CallError {
        sent: false,
        detail: error.to_string(),
    }
}

/// Formats an error followed by its causes, since hyper's own text leaves the causes out.
fn error_with_causes<E>(error: &E) -> String
where
    E: std::error::Error,
{
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
