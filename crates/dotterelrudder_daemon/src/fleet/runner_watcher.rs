//! Reads a runner's report and carries orders to it; the runner has no other holder of orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadSample;
use dotterelrudder_wire::WeightOrder;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::sync::mpsc::UnboundedReceiver;

use super::FollowerHandle;
use super::OrderAnswer;
use super::OrderCall;
use super::RunnerDialect;
use super::RunnerReport;
use crate::http_client::HttpClient;

/// How often the report is read; it is free on the runner's own machine.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// How long a report or the answer to an order may take on the runner's own machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Reports without an answer after which the runner counts as down.
const MAX_MISSES: u32 = 2;
/// An unchanged report is told again this often, so that its age stays small: entries suspect a
/// runner whose reports stop.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// How long an order without a clear answer is left to show an effect before it is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The order in work.
#[derive(Debug)]
struct PendingOrder {
    order: WeightOrder,
    orders_taken: u64,
    born_ms: u64,
    since_order_sent: Duration,
}

/// Watches one runner.
pub(super) struct RunnerWatcher<D> {
    pub(super) dialect: Arc<D>,
    pub(super) runner: SocketAddr,
    pub(super) holder: CompactString,
    pub(super) follower: FollowerHandle,
    pub(super) orders: UnboundedReceiver<WeightOrder>,
    pub(super) log: Logger,
}

impl<D> RunnerWatcher<D>
where
    D: RunnerDialect,
{
    /// Watches for as long as the process lives.
    pub(super) async fn run(mut self) {
        let client = HttpClient::default();
        let mut last_sent: Option<RunnerLoad> = None;
        let mut since_sent = Duration::ZERO;
        let mut misses = 0;
        let mut pending_order: Option<PendingOrder> = None;
        loop {
            let report = self.read_report(&client).await;
            match &report {
                Ok(report) => {
                    if misses >= MAX_MISSES {
                        info!(self.log, "runner answers again"; "runner" => %self.runner);
                    }
                    misses = 0;
                    while let Ok(order) = self.orders.try_recv() {
                        self.accept_order(order, report, &mut pending_order);
                    }
                    self.advance_order(&client, report, &mut pending_order)
                        .await;
                }
                Err(e) => {
                    misses += 1;
                    if misses == MAX_MISSES {
                        warn!(self.log, "runner doesn't answer";
                            "runner" => %self.runner, "error" => e.clone());
                    }
                }
            }
            let load = match report {
                Ok(report) => Some(self.load_of(&report, pending_order.is_some())),
                Err(_) if misses >= MAX_MISSES => last_sent.clone().map(|mut load| {
                    load.reading.answers = false;
                    load
                }),
                Err(_) => None,
            };
            if let Some(load) = load {
                if last_sent.as_ref() != Some(&load) || since_sent >= RESEND_INTERVAL {
                    self.follower.report(vec![load.clone()]);
                    last_sent = Some(load);
                    since_sent = Duration::ZERO;
                }
            }
            since_sent += READ_INTERVAL;
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    async fn read_report(&self, client: &HttpClient) -> Result<RunnerReport, String> {
        let url = format!("http://{}{}", self.runner, self.dialect.report_path());
        let body = client.get(&url, CALL_TIMEOUT).await.map_err(|e| e.detail)?;
        self.dialect.read_report(&body)
    }

    fn load_of(&self, report: &RunnerReport, ordered: bool) -> RunnerLoad {
        let reading = RunnerLoadSample {
            address: self.runner,
            answers: true,
            leaving: report.leaving,
            loading: report.busy || ordered,
            waiting: report.waiting,
            running: report.running,
            used_tokens: report.used_tokens,
        };
        let traits = RunnerAttributes {
            born_ms: report.born_ms,
            total_tokens: report.total_tokens,
            weights: report.weights.clone(),
        };
        RunnerLoad { reading, traits }
    }

    /// Takes an order, unless one with a higher fencing number is in work.
    fn accept_order(
        &self,
        order: WeightOrder,
        report: &RunnerReport,
        pending_order: &mut Option<PendingOrder>,
    ) {
        if pending_order
            .as_ref()
            .is_some_and(|w| w.order.fence >= order.fence)
        {
            return;
        }
        info!(self.log, "order to load weights"; "runner" => %self.runner,
            "model" => order.weights.model.as_str(), "version" => order.weights.version,
            "fence" => order.fence);
        *pending_order = Some(PendingOrder {
            order,
            orders_taken: report.orders_taken,
            born_ms: report.born_ms,
            since_order_sent: ORDER_RETRY_INTERVAL,
        });
    }

    /// Sends the order in work, or sees whether it has shown an effect.
    async fn advance_order(
        &self,
        client: &HttpClient,
        report: &RunnerReport,
        pending_order: &mut Option<PendingOrder>,
    ) {
        let Some(current) = pending_order else {
            return;
        };
        let wanted = &current.order.weights;
        let held = report.weights.iter().find(|w| w.model == wanted.model);
        let done = held.is_some_and(|w| w.version >= wanted.version);
        let restarted = report.born_ms != current.born_ms;
        if done || restarted {
            info!(self.log, "order ended"; "runner" => %self.runner, "done" => done,
                "restarted" => restarted, "fence" => current.order.fence);
            *pending_order = None;
            return;
        }
        current.since_order_sent += READ_INTERVAL;
        if report.busy || current.since_order_sent < ORDER_RETRY_INTERVAL {
            return;
        }
        current.since_order_sent = Duration::ZERO;
        current.orders_taken = report.orders_taken;
        let call = OrderCall {
            weights: wanted.clone(),
            holder: self.holder.clone(),
            fence: current.order.fence,
            orders_taken: current.orders_taken,
        };
        let answer = self.send_order(client, &call).await;
        info!(self.log, "order sent"; "runner" => %self.runner, "fence" => call.fence,
            "orders_taken" => call.orders_taken, "answer" => format!("{answer:?}"));
        if matches!(answer, Ok(OrderAnswer::Fenced | OrderAnswer::Refused)) {
            // The leader gives a higher fencing number when it still wants the order.
            *pending_order = None;
        }
    }

    async fn send_order(
        &self,
        client: &HttpClient,
        call: &OrderCall,
    ) -> Result<OrderAnswer, String> {
        let (path, body) = self.dialect.write_order(call);
        let url = format!("http://{}{path}", self.runner);
        let status = client.post_json(&url, body, CALL_TIMEOUT).await;
        let status = status.map_err(|e| e.detail)?;
        Ok(self.dialect.read_order_answer(status))
    }
}
