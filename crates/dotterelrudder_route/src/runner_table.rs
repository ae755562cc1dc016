//! The table of runners and stores that an entry has connected to, with lookups by name, service
//! and stored block.

use std::collections::HashMap;
use std::collections::HashSet;

use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use slotmap::new_key_type;
use slotmap::SlotMap;

use crate::RunnerState;

new_key_type! {
    /// Identifies a runner in a [`RunnerTable`].
    pub struct RunnerKey;
}

/// The state of all sides that an entry has connected to, including the sides of stores.
///
/// ```
/// use dotterelrudder_route::RunnerTable;
/// let mut table = RunnerTable::default();
/// let key = table.insert("side-1".into());
/// assert_eq!(table.find(&"side-1".into()), Some(key));
/// ```
#[derive(Debug, Default)]
pub struct RunnerTable {
    arena: SlotMap<RunnerKey, RunnerState>,
    by_name: HashMap<InstanceName, RunnerKey>,
}

impl RunnerTable {
    /// Adds a side, or returns the key of the one that has this name already.
    pub fn insert(&mut self, name: InstanceName) -> RunnerKey {
        let arena = &mut self.arena;
        let runner_name = name.clone();
        *self
            .by_name
            .entry(name)
            .or_insert_with(|| arena.insert(RunnerState::new(runner_name)))
    }

    /// Returns the key of the side with this name.
    pub fn find(&self, name: &InstanceName) -> Option<RunnerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the state of a side.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.arena.get(key)
    }

    /// Returns the mutable state of a side.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.arena.get_mut(key)
    }

    /// Returns the mutable state of the side with this name.
    pub fn find_mut(&mut self, name: &InstanceName) -> Option<&mut RunnerState> {
        self.arena.get_mut(self.find(name)?)
    }

    /// Marks the sides that the platform's instance list shows as leaving, and unmarks all others.
    pub fn set_listed_leaving(&mut self, leaving: &[InstanceName]) {
        for runner in self.arena.values_mut() {
            runner.listed_leaving = leaving.contains(&runner.name);
        }
    }

    /// Returns the sides whose last load report names this service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (RunnerKey, &'a RunnerState)> {
        self.arena
            .iter()
            .filter(move |(_, r)| r.load.service == *service)
    }

    /// Applies an update of the blocks that a side holds: its full state, or what was added and
    /// removed since the update before.
    ///
    /// Returns `false` if an update before this one is missing, so that the full state has to be
    /// requested. Repeated updates and those of unknown sides are ignored and return `true`.
    pub fn apply_block_update(
        &mut self,
        name: &InstanceName,
        sequence: u64,
        full_state: bool,
        added: Vec<BlockKey>,
        removed: &[BlockKey],
    ) -> bool {
        let Some(runner) = self.find_mut(name) else {
            return true;
        };
        if full_state {
            runner.blocks = added.into_iter().collect::<HashSet<_>>();
            runner.blocks_sequence = sequence;
            return true;
        }
        if sequence != runner.blocks_sequence + 1 {
            return sequence <= runner.blocks_sequence;
        }
        runner.blocks_sequence = sequence;
        runner.blocks.extend(added);
        for key in removed {
            runner.blocks.remove(key);
        }
        true
    }

    /// Returns the side of a connected store that belongs to one of `stores` and holds the block.
    pub fn find_store_with_block(
        &self,
        key: &BlockKey,
        stores: &[ServiceName],
    ) -> Option<&InstanceName> {
        let holds = |r: &&RunnerState| {
            r.connected && stores.contains(&r.load.service) && r.blocks.contains(key)
        };
        self.arena.values().find(holds).map(|r| &r.name)
    }
}
