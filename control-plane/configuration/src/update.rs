//! A change of named items: what stands in the configuration is kept as it was written, items are added, replaced by their
//! name, or removed.
//!
//! An item of the same name is replaced whole, in its place; new ones come last. A name to remove that is not there changes
//! nothing. One name both to add and to remove, or twice in one list, is refused.

// What `nanoserde` derives holds this shape.
#![allow(clippy::question_mark)]

use crate::{syntax, Configuration, Invalid};
use nanoserde::DeJson;

/// The list of all routes, and that of all services: these may be added to before they exist.
const LISTS: [&str; 2] = ["routes", "services"];
const GENERATION: &str = "generation";
const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";

/// A change that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The generation that the changed configuration has.
    pub generation: u64,
    lists: Vec<ListChange>,
}

/// What becomes of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ListChange {
    list: String,
    upsert: Vec<Named>,
    remove: Vec<String>,
}

/// An item, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Named {
    name: String,
    text: String,
}

#[derive(DeJson)]
struct NameDocument {
    name: String,
}

#[derive(DeJson)]
struct GenerationDocument {
    generation: u64,
}

fn unreadable(what: impl Into<String>) -> Invalid {
    Invalid::Update(what.into())
}

fn read<T: DeJson>(text: &str) -> Result<T, Invalid> {
    T::deserialize_json(text).map_err(|e| unreadable(e.to_string()))
}

fn members(text: &str) -> Result<Vec<(&str, &str)>, Invalid> {
    syntax::members(text).ok_or_else(|| unreadable("an object is missing"))
}

fn named(text: &str) -> Result<Named, Invalid> {
    members(text)?;
    let name = read::<NameDocument>(text)?.name;
    Ok(Named { name, text: text.to_owned() })
}

/// The items of a list, as they are written.
fn items(list: &str, text: &str) -> Result<Vec<Named>, Invalid> {
    let elements = syntax::elements(text).ok_or_else(|| unreadable(format!("{list} is no list")))?;
    elements.into_iter().map(named).collect()
}

impl Update {
    /// Reads a change. Whether it can be made depends on the configuration that it is made on.
    pub fn parse(body: &[u8]) -> Result<Update, Invalid> {
        let text = std::str::from_utf8(body).map_err(|e| unreadable(e.to_string()))?;
        if !syntax::is_complete_document(text) {
            return Err(unreadable("not one whole JSON value"));
        }
        let mut update = Update { generation: 0, lists: Vec::new() };
        let members = members(text)?;
        if let Some(name) = repeated(members.iter().map(|member| member.0)) {
            return Err(unreadable(format!("{name} is there twice")));
        }
        if !members.iter().any(|member| member.0 == GENERATION) {
            return Err(unreadable("generation is missing"));
        }
        for (name, value) in members {
            match name {
                GENERATION => update.generation = read::<GenerationDocument>(text)?.generation,
                UPSERT => update.read_upsert(value)?,
                REMOVE => update.read_remove(value)?,
                _ => {}
            }
        }
        update.check()?;
        Ok(update)
    }

    fn list(&mut self, name: &str) -> &mut ListChange {
        let at = self.lists.iter().position(|change| change.list == name).unwrap_or_else(|| {
            self.lists.push(ListChange { list: name.to_owned(), ..ListChange::default() });
            self.lists.len() - 1
        });
        &mut self.lists[at]
    }

    fn read_upsert(&mut self, text: &str) -> Result<(), Invalid> {
        for (list, value) in members(text)? {
            self.list(list).upsert.extend(items(list, value)?);
        }
        Ok(())
    }

    fn read_remove(&mut self, text: &str) -> Result<(), Invalid> {
        for (list, value) in members(text)? {
            let names = read::<Vec<String>>(value)?;
            self.list(list).remove.extend(names);
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Invalid> {
        for change in &self.lists {
            let names = change.upsert.iter().map(|item| item.name.as_str());
            if let Some(name) = repeated(names.chain(change.remove.iter().map(String::as_str))) {
                return Err(unreadable(format!("{name} is named twice in {}", change.list)));
            }
        }
        Ok(())
    }

    /// The configuration with this change, checked as a whole.
    pub fn apply(&self, current: &[u8]) -> Result<Vec<u8>, Invalid> {
        let text = std::str::from_utf8(current).map_err(|e| unreadable(e.to_string()))?;
        let current =
            syntax::members(text).ok_or_else(|| unreadable("there is no configuration to change"))?;
        let mut changed: Vec<(String, String)> = Vec::new();
        for (name, value) in &current {
            let value = match self.lists.iter().find(|change| change.list == *name) {
                Some(change) => change.apply(value)?,
                None if *name == GENERATION => self.generation.to_string(),
                None => (*value).to_owned(),
            };
            changed.push(((*name).to_owned(), value));
        }
        for change in &self.lists {
            if current.iter().any(|member| member.0 == change.list) {
                continue;
            }
            if !LISTS.contains(&change.list.as_str()) {
                return Err(unreadable(format!("the configuration has no list {}", change.list)));
            }
            changed.push((change.list.clone(), change.apply("[]")?));
        }
        let members: Vec<String> =
            changed.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
        let whole = format!("{{{}}}", members.join(",")).into_bytes();
        Configuration::parse(&whole)?;
        Ok(whole)
    }
}

impl ListChange {
    /// The list with this change.
    fn apply(&self, list: &str) -> Result<String, Invalid> {
        let mut left = self.upsert.clone();
        let mut kept: Vec<String> = Vec::new();
        for item in items(&self.list, list)? {
            if self.remove.contains(&item.name) {
                continue;
            }
            let replaced = left.iter().position(|new| new.name == item.name).map(|at| left.remove(at));
            kept.push(replaced.unwrap_or(item).text);
        }
        kept.extend(left.into_iter().map(|new| new.text));
        Ok(format!("[{}]", kept.join(",")))
    }
}

/// A name that occurs more than once.
fn repeated<'a>(names: impl Iterator<Item = &'a str>) -> Option<String> {
    let mut seen = std::collections::HashSet::new();
    names.into_iter().find(|name| !seen.insert(*name)).map(str::to_owned)
}
