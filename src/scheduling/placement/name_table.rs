//! Interning of names.

use foldhash::HashMap;
use std::sync::Arc;

/// Assigns numeric ids to the names of teams, job classes, machine types, zones and images, so that a pass
/// compares integers instead of strings.
///
/// Names are never removed, so a table that is kept between passes has to be replaced from time to time.
#[derive(Debug, Default)]
pub struct NameTable {
    ids: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    /// The id of a name. Adds the name if it is new.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.ids.insert(name, id);
        id
    }

    /// The id of a name, if it is in the table.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name with this id; empty if there is none.
    pub fn name(&self, id: u32) -> &str {
        self.names.get(id as usize).map_or("", |name| name)
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the table holds no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
