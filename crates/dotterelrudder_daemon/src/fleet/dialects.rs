//! How the platform's list and a runner's own interface are written on the wire.

use compact_str::CompactString;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::StoreEvent;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerRecord;

/// A page of the platform's list of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ListPage {
    /// The entries that could be read.
    pub rows: Vec<RunnerRecord>,
    /// Entries that name no server to use, such as damaged ones.
    pub unreadable: usize,
    /// Names the next page; none on the last one.
    pub next: Option<CompactString>,
}

/// Translates the platform's list.
pub trait ListDialect: Send + Sync + 'static {
    /// Returns the path of a page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads one answer.
    ///
    /// # Errors
    ///
    /// Returns why nothing of it can be read.
    fn read_list(&self, body: &[u8]) -> Result<ListPage, String>;
}

/// What changed at a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChanges {
    /// The store's present start.
    pub epoch: u64,
    /// Where the next call goes on.
    pub next: u64,
    /// Whether changes are missing before these.
    pub gap: bool,
    /// The engines' clock in milliseconds; 0 when it isn't told.
    pub clock_ms: u64,
    /// The changes, in order.
    pub events: Vec<StoreEvent>,
}

/// All that a store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreContents {
    /// The store's present start.
    pub epoch: u64,
    /// Where calls for changes go on.
    pub next: u64,
    /// The engines' clock in milliseconds; 0 when it isn't told.
    pub clock_ms: u64,
    /// Parts that it holds whole, with their tokens.
    pub held: Vec<(PartKey, u32)>,
    /// Parts that are being written, with the tokens written.
    pub partial: Vec<(PartKey, u32)>,
}

/// Translates the interface of a store.
pub trait StoreDialect: Send + Sync + 'static {
    /// Returns the path of a call for changes.
    fn changes_path(&self, since: u64) -> String;

    /// Returns the header that has a call for changes wait for them.
    fn wait_header(&self, wait: std::time::Duration) -> (&'static str, String);

    /// Reads changes.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    fn read_changes(&self, body: &[u8]) -> Result<StoreChanges, String>;

    /// Returns the path of the list of all parts.
    fn contents_path(&self) -> &'static str;

    /// Reads the list of all parts.
    ///
    /// # Errors
    ///
    /// Returns why it can't be read.
    fn read_contents(&self, body: &[u8]) -> Result<StoreContents, String>;

    /// Writes an order to free parts as path and body.
    fn write_free(&self, order: &FreePartsOrder) -> (&'static str, Vec<u8>);
}

/// What a runner says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunnerReport {
    /// Its start, as milliseconds since the epoch; 0 when it doesn't tell.
    pub born_ms: u64,
    /// The weights that it serves.
    pub weights: Vec<ModelWeights>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// How many orders it accepted since its start.
    pub orders_taken: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in its batch.
    pub running: u32,
    /// Tokens of KV cache that can't yield.
    pub used_tokens: u64,
    /// Tokens of KV cache that its memory holds.
    pub total_tokens: u64,
}

/// An order as it goes to a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// What to load.
    pub weights: ModelWeights,
    /// Who orders: the name of the side.
    pub holder: CompactString,
    /// The fencing number.
    pub fence: u64,
    /// The count of orders at which alone it may be carried out.
    pub orders_taken: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// The runner serves these weights already.
    Holds,
    /// Another order came between, or is being carried out.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// The runner doesn't know the order or the weights.
    Refused,
}

/// Translates a runner's own interface.
pub trait RunnerDialect: Send + Sync + 'static {
    /// Returns the path of the report.
    fn report_path(&self) -> &'static str;

    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns why it can't be read.
    fn read_report(&self, body: &[u8]) -> Result<RunnerReport, String>;

    /// Writes an order as path and body.
    fn write_order(&self, order: &OrderCall) -> (&'static str, Vec<u8>);

    /// Reads the status of the answer to an order.
    fn read_order_answer(&self, status: u16) -> OrderAnswer;
}
