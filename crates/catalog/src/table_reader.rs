//! Reads a TOML table key by key and collects all faults instead of stopping at the first.

use crate::Fault;
use std::ops::RangeInclusive;
use toml::{Table, Value};

/// A TOML table being read. Each key is taken once; keys left at the end are reported as unknown.
#[derive(Debug)]
pub struct TableReader<'a> {
    file: &'a str,
    path: String,
    table: Table,
    faults: Vec<Fault>,
}

impl<'a> TableReader<'a> {
    /// Parses `text`. A syntax error results in a fault and an empty table.
    #[must_use]
    pub fn parse(file: &'a str, text: &str) -> Self {
        let mut reader = Self { file, path: String::new(), table: Table::new(), faults: Vec::new() };
        match text.parse::<Table>() {
            Ok(table) => reader.table = table,
            Err(e) => reader.fault("", format!("is not valid TOML: {}", e.message())),
        }
        reader
    }

    fn full_path(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (true, _) => key.to_owned(),
            (false, true) => self.path.clone(),
            (false, false) => format!("{}.{key}", self.path),
        }
    }

    /// Records a fault at `key`.
    pub fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let key = self.full_path(key);
        self.faults.push(Fault::new(self.file, &key, reason));
    }

    fn required<T: Default>(&mut self, key: &str, value: Option<T>) -> T {
        if value.is_none() && !self.faults.iter().any(|f| f.key == self.full_path(key)) {
            self.fault(key, "is missing");
        }
        value.unwrap_or_default()
    }

    /// Takes a string, if the key is present.
    pub fn string_opt(&mut self, key: &str) -> Option<String> {
        match self.table.remove(key)? {
            Value::String(text) => Some(text),
            _ => {
                self.fault(key, "must be a string");
                None
            }
        }
    }

    /// Takes a string from a required key.
    pub fn string(&mut self, key: &str) -> String {
        let value = self.string_opt(key);
        self.required(key, value)
    }

    /// Takes a name from a required key: 1 to 64 letters, digits, `-`, `_`, `.`, `/` or `:`.
    pub fn name(&mut self, key: &str) -> String {
        let name = self.string(key);
        let is_valid = name.chars().all(|c| c.is_ascii_alphanumeric() || "-_./:".contains(c));
        if !name.is_empty() && (!is_valid || name.len() > 64) {
            self.fault(key, "must be 1 to 64 letters, digits, or any of - _ . / :");
        }
        name
    }

    /// Takes a value that is parsed from a string, such as an address, if the key is present. `expected` describes
    /// the value in the fault.
    pub fn parsed_opt<T: std::str::FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let text = self.string_opt(key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, format!("'{text}' is not {expected}"));
        }
        parsed
    }

    /// Takes a value that is parsed from a string from a required key. Records one fault if the key is missing.
    pub fn parsed<T: std::str::FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let is_present = self.table.contains_key(key);
        let parsed = self.parsed_opt(key, expected);
        if !is_present {
            self.fault(key, format!("is missing: expected {expected}"));
        }
        parsed
    }

    /// Takes a list of strings; empty if the key is not present.
    pub fn strings(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.table.remove(key) else { return Vec::new() };
        let Value::Array(items) = value else {
            self.fault(key, "must be a list of strings");
            return Vec::new();
        };
        let strings: Vec<String> = items.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
        if strings.len() != items.len() {
            self.fault(key, "must be a list of strings");
        }
        strings
    }

    /// Takes an integer within `range`, if the key is present.
    pub fn integer_opt(&mut self, key: &str, range: &RangeInclusive<u64>) -> Option<u64> {
        let value = self.table.remove(key)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        let in_range = number.filter(|n| range.contains(n));
        if in_range.is_none() {
            self.fault(key, format!("must be a whole number from {} to {}", range.start(), range.end()));
        }
        in_range
    }

    /// Takes an integer within `range` from a required key.
    pub fn integer(&mut self, key: &str, range: &RangeInclusive<u64>) -> u64 {
        let value = self.integer_opt(key, range);
        self.required(key, value)
    }

    /// Takes a ratio from 0 to 1, or returns `default`.
    pub fn ratio(&mut self, key: &str, default: f64) -> f64 {
        let Some(value) = self.table.remove(key) else { return default };
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        if let Some(ratio) = number.filter(|n| (0.0..=1.0).contains(n)) {
            return ratio;
        }
        self.fault(key, "must be a number from 0 to 1");
        default
    }

    /// Takes a number within `range`, if the key is present.
    pub fn number_opt(&mut self, key: &str, range: &RangeInclusive<f64>) -> Option<f64> {
        let value = self.table.remove(key)?;
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        let in_range = number.filter(|n| range.contains(n));
        if in_range.is_none() {
            self.fault(key, format!("must be a number from {} to {}", range.start(), range.end()));
        }
        in_range
    }

    /// Takes a number within `range` from a required key.
    pub fn number(&mut self, key: &str, range: &RangeInclusive<f64>) -> f64 {
        let value = self.number_opt(key, range);
        self.required(key, value)
    }

    /// Takes a boolean, or returns `default`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.table.remove(key) else { return default };
        if let Some(flag) = value.as_bool() {
            return flag;
        }
        self.fault(key, "must be true or false");
        default
    }

    /// Takes the list of tables at `key` and reads each of them with `read`.
    pub fn tables<T>(&mut self, key: &str, mut read: impl FnMut(&mut TableReader<'a>) -> T) -> Vec<T> {
        let Some(value) = self.table.remove(key) else { return Vec::new() };
        let Value::Array(items) = value else {
            self.fault(key, "must be a list of tables");
            return Vec::new();
        };
        let mut out = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            let Value::Table(table) = item else {
                self.fault(key, format!("entry {i} is not a table"));
                continue;
            };
            let path = format!("{}[{i}]", self.full_path(key));
            let mut inner = TableReader { file: self.file, path, table, faults: Vec::new() };
            out.push(read(&mut inner));
            self.faults.extend(inner.finish());
        }
        out
    }

    /// Returns all faults, including one for each key that was not taken.
    #[must_use]
    pub fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.table.keys().cloned().collect();
        for key in unknown {
            self.fault(&key, "is not a known key");
        }
        self.faults
    }
}
