//! Interning of names.

use foldhash::HashMap;
use std::sync::Arc;

/// Numbers for names of teams, machine types, zones and images, so that a pass compares no text.
///
/// Names are never removed: a table that is kept between passes has to be replaced from time to time.
#[derive(Debug, Default)]
pub struct NameTable {
    ids: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    /// The number of a name, which is added if it is new.
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

    /// The number of a name, if it is in the table.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// The name with this number; empty if there is none.
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
