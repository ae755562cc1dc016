//! A store of kept KV cache that holds nothing and drops what it is sent, as the platform's pages
//! describe its calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::http;

/// Serves the calls of a store until the process ends.
pub fn serve(address: SocketAddr) {
    let handler: http::Handler = Arc::new(|req, tcp| {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let path = req.path().split('?').next().unwrap_or("").to_owned();
        let body = match (req.method(), path.as_str()) {
            ("GET", "/v1/kv-list") => {
                format!("{{\"bootEpoch\":77120,\"next\":1,\"clock_ms\":{now}.0,\"held\":[],\"partial\":[]}}")
            }
            ("GET", "/v1/kv-events") => {
                let wait = req
                    .header("wait-ms")
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                std::thread::sleep(Duration::from_millis(wait));
                let now = now + u128::from(wait);
                format!("{{\"bootEpoch\":77120,\"next\":1,\"lost\":false,\"clock_ms\":{now}.0,\"events\":[]}}")
            }
            ("GET", "/v1/report") => {
                "{\"kvUsed\":0,\"kvTotal\":148300,\"bootEpoch\":77120}".to_owned()
            }
            _ => "{}".to_owned(),
        };
        http::respond(
            tcp,
            200,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    });
    http::serve(address, handler).expect("a store can listen");
}
