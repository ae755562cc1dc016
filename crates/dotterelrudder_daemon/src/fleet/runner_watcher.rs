//! Polls the report of the runner beside a side, sends load reports to the leader, and sends the
//! runner its orders to load weights. No other process holds orders for this runner.

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
use crate::response_limits::ResponseLimits;

/// Interval between two reads of the runner's report; a read costs nothing on the runner's own
/// machine.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit for reading a report or sending an order, on the runner's own machine.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Number of consecutive failed reads after which the runner is reported as not answering.
const MAX_MISSES: u32 = 2;
/// Interval at which an unchanged load report is sent again, to keep its age small: entries suspect
/// a runner whose load reports stop.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// How long an order without a conclusive reply may take to show an effect before it is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An order that has not taken effect yet, and the runner's state when it was received or last
/// sent.
#[derive(Debug)]
struct PendingOrder {
    order: WeightOrder,
    orders_taken: u64,
    born_ms: u64,
    since_order_sent: Duration,
}

/// Watches the runner beside a side.
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
    /// Reads the report and advances the pending order every `READ_INTERVAL`, until the process
    /// ends.
    pub(super) async fn run(mut self) {
        let limits = ResponseLimits::new(MAX_REPORT_BYTES, MAX_REPORT_BYTES);
        let client = HttpClient::with_limits(limits);
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

    /// Makes an order the pending one, unless the pending order has the same or a higher fencing
    /// number.
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
        info!(self.log, "order to load weights received"; "runner" => %self.runner,
            "model" => order.weights.model.as_str(), "version" => order.weights.version,
            "fence" => order.fence);
        *pending_order = Some(PendingOrder {
            order,
            orders_taken: report.orders_taken,
            born_ms: report.born_ms,
            since_order_sent: ORDER_RETRY_INTERVAL,
        });
    }

    /// Ends the pending order if the runner serves the weights or has restarted; otherwise sends
    /// the order if it is due.
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
            info!(self.log, "order to load weights ended"; "runner" => %self.runner, "done" => done,
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
        info!(self.log, "order to load weights sent"; "runner" => %self.runner,
            "fence" => call.fence, "orders_taken" => call.orders_taken, "answer" => format!("{answer:?}"));
        if matches!(answer, Ok(OrderAnswer::Fenced | OrderAnswer::Refused)) {
            // The leader issues the order again, with a higher fencing number, if it still needs
            // it.
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
