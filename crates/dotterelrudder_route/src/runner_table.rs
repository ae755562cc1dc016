//! The runners that an entry knows, and which store holds which block.

use std::collections::HashMap;
use std::collections::HashSet;

use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use slotmap::new_key_type;
use slotmap::SlotMap;

use crate::RunnerView;

new_key_type! {
    /// Names a runner in the table.
    pub struct RunnerKey;
}

/// All sides that an entry is connected to, those of stores included.
///
/// ```
/// use dotterelrudder_route::RunnerTable;
/// let mut table = RunnerTable::default();
/// let key = table.insert("side-1".into());
/// assert_eq!(table.find(&"side-1".into()), Some(key));
/// ```
#[derive(Debug, Default)]
pub struct RunnerTable {
    arena: SlotMap<RunnerKey, RunnerView>,
    by_name: HashMap<InstanceName, RunnerKey>,
}

impl RunnerTable {
    /// Adds a side, or finds the one with this name.
    pub fn insert(&mut self, name: InstanceName) -> RunnerKey {
        let arena = &mut self.arena;
        let view = name.clone();
        *self
            .by_name
            .entry(name)
            .or_insert_with(|| arena.insert(RunnerView::new(view)))
    }

    /// Finds a side by name.
    pub fn find(&self, name: &InstanceName) -> Option<RunnerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns a side.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerView> {
        self.arena.get(key)
    }

    /// Returns a side to change it.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerView> {
        self.arena.get_mut(key)
    }

    /// Finds a side by name to change it.
    pub fn named_mut(&mut self, name: &InstanceName) -> Option<&mut RunnerView> {
        self.arena.get_mut(self.find(name)?)
    }

    /// Notes which sides the platform's list shows as leaving.
    pub fn set_listed_leaving(&mut self, leaving: &[InstanceName]) {
        for view in self.arena.values_mut() {
            view.listed_leaving = leaving.contains(&view.name);
        }
    }

    /// Returns the sides of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (RunnerKey, &'a RunnerView)> {
        self.arena
            .iter()
            .filter(move |(_, r)| r.load.service == *service)
    }

    /// Takes a change of a side's blocks in; false when changes before it are missing.
    pub fn change_blocks(
        &mut self,
        name: &InstanceName,
        sequence: u64,
        whole: bool,
        added: Vec<BlockKey>,
        removed: &[BlockKey],
    ) -> bool {
        let Some(view) = self.named_mut(name) else {
            return true;
        };
        if whole {
            view.blocks = added.into_iter().collect::<HashSet<_>>();
            view.sequence = sequence;
            return true;
        }
        if sequence != view.sequence + 1 {
            return sequence <= view.sequence;
        }
        view.sequence = sequence;
        view.blocks.extend(added);
        for key in removed {
            view.blocks.remove(key);
        }
        true
    }

    /// Finds a connected store of the given services that holds a block.
    pub fn store_with(&self, key: &BlockKey, stores: &[ServiceName]) -> Option<&InstanceName> {
        let holds = |r: &&RunnerView| {
            r.connected && stores.contains(&r.load.service) && r.blocks.contains(key)
        };
        self.arena.values().find(holds).map(|r| &r.name)
    }
}
