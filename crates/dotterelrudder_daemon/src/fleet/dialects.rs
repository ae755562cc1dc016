//! The traits by which a platform defines the HTTP interfaces of its list of backend servers, its
//! stores and its runners, and the types that these traits read and write.

use compact_str::CompactString;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::StoreEvent;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerRecord;

use crate::json_list::UnreadableEntry;

/// One page of the platform's list of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ListPage {
    /// The list's entries that could be read.
    pub rows: Vec<RunnerRecord>,
    /// Number of the list's entries that describe no usable server, such as damaged ones.
    pub unreadable: usize,
    /// The first of these entries.
    pub described: Vec<UnreadableEntry>,
    /// Token of the next page; `None` on the last page.
    pub next: Option<CompactString>,
    /// Why part of the page could not be read, other than single entries.
    pub fault: Option<String>,
}

/// Defines the HTTP interface of the platform's list of backend servers.
pub trait ListDialect: Send + Sync + 'static {
    /// Returns the URL path of a page by its token; `None` is the first page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Parses the response body of one page.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if no part of the page can be parsed.
    fn read_list(&self, body: &[u8]) -> Result<ListPage, String>;
}

/// The reply of a store to a call for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChanges {
    /// The store's current epoch, which changes with each start of the store.
    pub epoch: u64,
    /// Position in the store's sequence of changes at which the next call continues.
    pub next: u64,
    /// Whether changes between the last call and these were lost.
    pub gap: bool,
    /// The engines' clock as the store reported it, in milliseconds; 0 if it did not.
    pub clock_ms: u64,
    /// The changes, oldest first.
    pub events: Vec<StoreEvent>,
}

/// A full listing of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreContents {
    /// The store's current epoch, which changes with each start of the store.
    pub epoch: u64,
    /// Position in the store's sequence of changes at which calls for changes continue.
    pub next: u64,
    /// The engines' clock as the store reported it, in milliseconds; 0 if it did not.
    pub clock_ms: u64,
    /// Parts that are completely stored, with their length in tokens.
    pub held: Vec<(PartKey, u32)>,
    /// Parts that are being written, with the number of tokens written so far.
    pub partial: Vec<(PartKey, u32)>,
}

/// Defines the HTTP interface of a store.
pub trait StoreDialect: Send + Sync + 'static {
    /// Returns the URL path of a call for the changes from position `since` on.
    fn changes_path(&self, since: u64) -> String;

    /// Returns the header, as name and value, by which a call for changes waits up to `wait` until
    /// there are some.
    fn wait_header(&self, wait: std::time::Duration) -> (&'static str, String);

    /// Parses the response body of a call for changes.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the body cannot be parsed.
    fn read_changes(&self, body: &[u8]) -> Result<StoreChanges, String>;

    /// Returns the URL path of the full listing.
    fn contents_path(&self) -> &'static str;

    /// Parses the response body of the full listing.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the body cannot be parsed.
    fn read_contents(&self, body: &[u8]) -> Result<StoreContents, String>;

    /// Returns the URL path and JSON body of an order to free parts.
    fn write_free(&self, order: &FreePartsOrder) -> (&'static str, Vec<u8>);
}

/// The report that a runner serves about its own state and load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunnerReport {
    /// Start time of the runner in milliseconds since the Unix epoch; 0 if it was not reported.
    pub born_ms: u64,
    /// Weights that the runner serves, one version per model.
    pub weights: Vec<ModelWeights>,
    /// Whether the runner is carrying out an order.
    pub busy: bool,
    /// Number of orders that the runner has accepted since its start.
    pub orders_taken: u64,
    /// Whether the runner drains, that is, accepts no new requests.
    pub leaving: bool,
    /// Number of requests queued at the runner.
    pub waiting: u32,
    /// Number of requests in the runner's batch.
    pub running: u32,
    /// KV cache in use that cannot be evicted, in tokens.
    pub used_tokens: u64,
    /// Capacity of the KV cache, in tokens.
    pub total_tokens: u64,
}

/// An order to load weights, as it is sent to a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// Model and version to load.
    pub weights: ModelWeights,
    /// Name of the side that sends the order.
    pub holder: CompactString,
    /// Fencing number; a runner rejects an order if it has seen a higher one.
    pub fence: u64,
    /// Precondition: the runner carries the order out only if it has accepted exactly this many
    /// orders since its start.
    pub orders_taken: u64,
}

/// The reply of a runner to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The runner is carrying the order out.
    Accepted,
    /// The runner already serves these weights.
    Holds,
    /// The runner has accepted another order in the meantime, or is carrying one out.
    Conflict,
    /// The runner has seen a higher fencing number.
    Fenced,
    /// The runner does not know the kind of order or the weights.
    Refused,
}

/// Defines the HTTP interface of a runner.
pub trait RunnerDialect: Send + Sync + 'static {
    /// Returns the URL path of the report.
    fn report_path(&self) -> &'static str;

    /// Parses the response body of the report.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the body cannot be parsed.
    fn read_report(&self, body: &[u8]) -> Result<RunnerReport, String>;

    /// Returns the URL path and JSON body of an order.
    fn write_order(&self, order: &OrderCall) -> (&'static str, Vec<u8>);

    /// Maps the HTTP status of the reply to an order.
    fn read_order_answer(&self, status: u16) -> OrderAnswer;
}
