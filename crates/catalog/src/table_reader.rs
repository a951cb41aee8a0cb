//! Reads a TOML table key by key and collects every fault, instead of stopping at the first.

use crate::Fault;
use std::ops::RangeInclusive;
use toml::{Table, Value};

/// A table being read. Each key may be taken once; what is left at the end is an unknown key.
#[derive(Debug)]
pub struct TableReader<'a> {
    file: &'a str,
    path: String,
    table: Table,
    faults: Vec<Fault>,
}

impl<'a> TableReader<'a> {
    /// Parses `text`; a syntax error becomes a fault and an empty table.
    #[must_use]
    pub fn parse(file: &'a str, text: &str) -> Self {
        let mut reader = Self { file, path: String::new(), table: Table::new(), faults: Vec::new() };
        match text.parse::<Table>() {
            Ok(table) => reader.table = table,
            Err(e) => reader.fault("", format!("not TOML: {}", e.message())),
        }
        reader
    }

    fn full(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (true, _) => key.to_owned(),
            (false, true) => self.path.clone(),
            (false, false) => format!("{}.{key}", self.path),
        }
    }

    /// Notes a fault at `key`.
    pub fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let key = self.full(key);
        self.faults.push(Fault::new(self.file, &key, reason));
    }

    fn required<T: Default>(&mut self, key: &str, found: Option<T>) -> T {
        if found.is_none() && !self.faults.iter().any(|f| f.key == self.full(key)) {
            self.fault(key, "is missing");
        }
        found.unwrap_or_default()
    }

    /// A text, if the key stands there.
    pub fn string_opt(&mut self, key: &str) -> Option<String> {
        match self.table.remove(key)? {
            Value::String(text) => Some(text),
            _ => {
                self.fault(key, "must be a text");
                None
            }
        }
    }

    /// A text that must stand there.
    pub fn string(&mut self, key: &str) -> String {
        let found = self.string_opt(key);
        self.required(key, found)
    }

    /// A name: 1 to 64 letters, digits, `-`, `_`, `.`, `/` or `:`.
    pub fn name(&mut self, key: &str) -> String {
        let name = self.string(key);
        let fits = name.chars().all(|c| c.is_ascii_alphanumeric() || "-_./:".contains(c));
        if !name.is_empty() && (!fits || name.len() > 64) {
            self.fault(key, "must be 1 to 64 letters, digits, or any of - _ . / :");
        }
        name
    }

    /// A value that parses from a text, such as an address.
    pub fn parsed_opt<T: std::str::FromStr>(&mut self, key: &str, what: &str) -> Option<T> {
        let text = self.string_opt(key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, format!("'{text}' is not {what}"));
        }
        parsed
    }

    /// A value that parses from a text and must stand there; one fault if it doesn't.
    pub fn parsed<T: std::str::FromStr>(&mut self, key: &str, what: &str) -> Option<T> {
        let stands = self.table.contains_key(key);
        let parsed = self.parsed_opt(key, what);
        if !stands {
            self.fault(key, format!("is missing: {what} is needed"));
        }
        parsed
    }

    /// A list of texts; empty when the key isn't there.
    pub fn strings(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.table.remove(key) else { return Vec::new() };
        let Value::Array(items) = value else {
            self.fault(key, "must be a list of texts");
            return Vec::new();
        };
        let texts: Vec<String> = items.iter().filter_map(|v| v.as_str().map(str::to_owned)).collect();
        if texts.len() != items.len() {
            self.fault(key, "must be a list of texts");
        }
        texts
    }

    /// A whole number within `range`, if the key stands there.
    pub fn integer_opt(&mut self, key: &str, range: &RangeInclusive<u64>) -> Option<u64> {
        let value = self.table.remove(key)?;
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        let fits = number.filter(|n| range.contains(n));
        if fits.is_none() {
            self.fault(key, format!("must be a whole number from {} to {}", range.start(), range.end()));
        }
        fits
    }

    /// A whole number within `range` that must stand there.
    pub fn integer(&mut self, key: &str, range: &RangeInclusive<u64>) -> u64 {
        let found = self.integer_opt(key, range);
        self.required(key, found)
    }

    /// A share between 0 and 1, or `default`.
    pub fn ratio(&mut self, key: &str, default: f64) -> f64 {
        let Some(value) = self.table.remove(key) else { return default };
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        if let Some(share) = number.filter(|n| (0.0..=1.0).contains(n)) {
            return share;
        }
        self.fault(key, "must be a number from 0 to 1");
        default
    }

    /// A number within `range`, if the key stands there.
    pub fn number_opt(&mut self, key: &str, range: &RangeInclusive<f64>) -> Option<f64> {
        let value = self.table.remove(key)?;
        let number = value.as_float().or_else(|| value.as_integer().map(|n| n as f64));
        let fits = number.filter(|n| range.contains(n));
        if fits.is_none() {
            self.fault(key, format!("must be a number from {} to {}", range.start(), range.end()));
        }
        fits
    }

    /// A number within `range` that must stand there.
    pub fn number(&mut self, key: &str, range: &RangeInclusive<f64>) -> f64 {
        let found = self.number_opt(key, range);
        self.required(key, found)
    }

    /// A flag, or `default`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.table.remove(key) else { return default };
        if let Some(flag) = value.as_bool() {
            return flag;
        }
        self.fault(key, "must be true or false");
        default
    }

    /// Reads each table of the list at `key` with `read`.
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
            let path = format!("{}[{i}]", self.full(key));
            let mut inner = TableReader { file: self.file, path, table, faults: Vec::new() };
            out.push(read(&mut inner));
            self.faults.extend(inner.finish());
        }
        out
    }

    /// Every fault, with one more for each key that nobody took.
    #[must_use]
    pub fn finish(mut self) -> Vec<Fault> {
        let left: Vec<String> = self.table.keys().cloned().collect();
        for key in left {
            self.fault(&key, "is not a known key");
        }
        self.faults
    }
}
