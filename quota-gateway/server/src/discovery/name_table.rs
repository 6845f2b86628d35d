//! Numbers for names of zones and kinds.

/// The largest number of names. Further names get the last number, so that the table stays bounded when new
/// names keep appearing.
const MAX_NAMES: usize = 256;

/// Numbers for names. The names in the settings have fixed numbers; others are numbered as they appear.
pub struct NameTable(Vec<String>);

impl NameTable {
    /// Creates a table with these names, numbered from 0.
    pub fn new(names: Vec<String>) -> NameTable {
        NameTable(names)
    }

    /// The number of a name.
    pub fn index(&mut self, name: String) -> u32 {
        let index = self.0.iter().position(|known| *known == name).unwrap_or_else(|| {
            if self.0.len() < MAX_NAMES {
                self.0.push(name);
            }
            self.0.len() - 1
        });
        index as u32
    }
}

#[cfg(test)]
mod tests;
