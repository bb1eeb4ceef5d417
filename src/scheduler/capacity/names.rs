//! Interned names: small numbers in place of strings.

use std::collections::HashMap;
use std::sync::Arc;

/// Maps the names of machine types, zones, shards and images to numbers.
#[derive(Debug, Default)]
pub struct NameInterner {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameInterner {
    /// The number of a name; assigns the next number to a new name.
    pub fn intern(&mut self, name: &Arc<str>) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }

    /// The number of a name; `None` if the name was never interned.
    pub fn lookup(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name that [`NameInterner::intern`] assigned `number` to.
    pub fn name(&self, number: u32) -> &Arc<str> {
        &self.names[number as usize]
    }
}
