//! A change of named items of a configuration.
//!
//! The change names lists of the configuration, and for each of them items to upsert and names of items to remove:
//! `{"generation": 8, "upsert": {"routes": [...]}, "remove": {"services": ["s"]}}`. An item of the same name is replaced
//! completely, at its position; new ones are appended. The removal of a name that does not exist has no
//! effect. Everything that the change does not name keeps its exact text, including members that are unknown
//! to this program.
//!
//! [`Update::parse`] rejects changes that are ambiguous by themselves, such as an item that is both upserted
//! and removed; [`Update::apply`] rejects changes that do not result in a valid configuration.

// The code that `nanoserde` derives triggers this lint.
#![allow(clippy::question_mark)]

use crate::configuration::Configuration;
use crate::error::{ConfigurationError, UpdateError};
use crate::syntax;
use nanoserde::DeJson;
use std::collections::HashSet;

/// The lists that a configuration may omit; a change may create them.
const OPTIONAL_LISTS: [&str; 2] = ["routes", "services"];
const GENERATION: &str = "generation";
const UPSERT: &str = "upsert";
const REMOVE: &str = "remove";

/// A change of named items of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The generation of the resulting configuration.
    pub generation: u64,
    /// The changes of lists, in the order in which the change first names the lists.
    lists: Vec<ListChange>,
}

/// The change of one list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ListChange {
    /// Name of the member of the configuration that is the list.
    list_name: String,
    upsert: Vec<NamedItem>,
    /// Names of the items to remove.
    remove: Vec<String>,
}

/// An item of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NamedItem {
    name: String,
    /// The original text of the item in JSON.
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

impl Update {
    /// Parses a change in JSON. Whether it can be applied depends on the configuration that it is applied to.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigurationError::InvalidUpdate`] if the text is not a change, or names an item twice in one list.
    pub fn parse(body: &[u8]) -> Result<Update, ConfigurationError> {
        Ok(Update::parse_text(body)?)
    }

    fn parse_text(body: &[u8]) -> Result<Update, UpdateError> {
        let text = std::str::from_utf8(body)?;
        if !syntax::is_complete_document(text) {
            return Err(UpdateError::IncompleteJson);
        }
        let members = members(text)?;
        if let Some(name) = find_duplicate(members.iter().map(|member| member.0)) {
            return Err(UpdateError::DuplicateMember(name));
        }
        if !members.iter().any(|member| member.0 == GENERATION) {
            return Err(UpdateError::MissingGeneration);
        }
        let mut update = Update { generation: 0, lists: Vec::new() };
        for (name, value) in members {
            match name {
                GENERATION => update.generation = GenerationDocument::deserialize_json(text)?.generation,
                UPSERT => update.parse_upsert(value)?,
                REMOVE => update.parse_remove(value)?,
                _ => {}
            }
        }
        update.check_names()?;
        Ok(update)
    }

    /// Returns the change of a list; adds an empty one if there is none yet.
    fn list_mut(&mut self, list_name: &str) -> &mut ListChange {
        let existing = self.lists.iter().position(|change| change.list_name == list_name);
        let index = existing.unwrap_or_else(|| {
            self.lists.push(ListChange { list_name: list_name.to_owned(), ..ListChange::default() });
            self.lists.len() - 1
        });
        &mut self.lists[index]
    }

    fn parse_upsert(&mut self, text: &str) -> Result<(), UpdateError> {
        for (list_name, value) in members(text)? {
            self.list_mut(list_name).upsert.extend(parse_items(list_name, value)?);
        }
        Ok(())
    }

    fn parse_remove(&mut self, text: &str) -> Result<(), UpdateError> {
        for (list_name, value) in members(text)? {
            let names = Vec::<String>::deserialize_json(value)?;
            self.list_mut(list_name).remove.extend(names);
        }
        Ok(())
    }

    /// Checks that no item occurs twice in the change of one list.
    fn check_names(&self) -> Result<(), UpdateError> {
        for change in &self.lists {
            let upserted = change.upsert.iter().map(|item| item.name.as_str());
            if let Some(name) = find_duplicate(upserted.chain(change.remove.iter().map(String::as_str))) {
                return Err(UpdateError::DuplicateItem(name, change.list_name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the text of the configuration that results from applying the change to `current`.
    ///
    /// # Errors
    ///
    /// Returns an error if the result would not be a valid configuration.
    pub fn apply(&self, current: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
        let changed = self.apply_to_text(current)?.into_bytes();
        Configuration::parse(&changed)?;
        Ok(changed)
    }

    fn apply_to_text(&self, current: &[u8]) -> Result<String, UpdateError> {
        let current = std::str::from_utf8(current)?;
        let current = syntax::members(current).ok_or(UpdateError::NoConfiguration)?;
        let mut members = Vec::new();
        for (name, value) in &current {
            let value = match self.lists.iter().find(|change| change.list_name == *name) {
                Some(change) => change.apply(value)?,
                None if *name == GENERATION => self.generation.to_string(),
                None => (*value).to_owned(),
            };
            members.push(format!("\"{name}\":{value}"));
        }
        let is_missing = |list_name: &str| !current.iter().any(|(name, _)| *name == list_name);
        for change in self.lists.iter().filter(|change| is_missing(&change.list_name)) {
            if !OPTIONAL_LISTS.contains(&change.list_name.as_str()) {
                return Err(UpdateError::UnknownList(change.list_name.clone()));
            }
            members.push(format!("\"{}\":{}", change.list_name, change.apply("[]")?));
        }
        Ok(format!("{{{}}}", members.join(",")))
    }
}

impl ListChange {
    /// Returns the text of the list that results from applying the change to the text of a list.
    fn apply(&self, list_text: &str) -> Result<String, UpdateError> {
        let mut new_items = self.upsert.clone();
        let mut texts: Vec<String> = Vec::new();
        for item in parse_items(&self.list_name, list_text)? {
            if self.remove.contains(&item.name) {
                continue;
            }
            let replacement = new_items.iter().position(|new| new.name == item.name);
            let replacement = replacement.map(|index| new_items.remove(index));
            texts.push(replacement.unwrap_or(item).text);
        }
        texts.extend(new_items.into_iter().map(|new| new.text));
        Ok(format!("[{}]", texts.join(",")))
    }
}

fn members(text: &str) -> Result<Vec<(&str, &str)>, UpdateError> {
    syntax::members(text).ok_or(UpdateError::NotAnObject)
}

/// Parses the items of a list. The name of the list is used in error messages.
fn parse_items(list_name: &str, text: &str) -> Result<Vec<NamedItem>, UpdateError> {
    let elements = syntax::elements(text).ok_or_else(|| UpdateError::NotAList(list_name.to_owned()))?;
    elements.into_iter().map(parse_item).collect()
}

fn parse_item(text: &str) -> Result<NamedItem, UpdateError> {
    members(text)?;
    let name = NameDocument::deserialize_json(text)?.name;
    Ok(NamedItem { name, text: text.to_owned() })
}

/// Returns the first name that occurs a second time.
fn find_duplicate<'a>(mut names: impl Iterator<Item = &'a str>) -> Option<String> {
    let mut seen = HashSet::new();
    names.find(|name| !seen.insert(*name)).map(str::to_owned)
}
