//! How the platform's list and a runner's own interface are written on the wire.

use compact_str::CompactString;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerRow;

/// A page of the platform's list of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ListPage {
    /// The entries that could be read.
    pub rows: Vec<RunnerRow>,
    /// Entries that name no server to use, such as damaged ones.
    pub unreadable: usize,
    /// Names the next page; none on the last one.
    pub next: Option<CompactString>,
}

/// Translates the platform's list.
pub trait ListDialect: Send + Sync + 'static {
    /// Returns the path of a page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Returns why the page as a whole can't be read.
    fn read_list(&self, body: &[u8]) -> Result<ListPage, String>;
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
