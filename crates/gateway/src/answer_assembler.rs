//! Assembles the events of a streamed answer for callers that requested a single response.

use bytes::Bytes;
use serde_json::{json, Map, Value};
use upstream::EventSplitter;

/// An answer under assembly.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    head: Map<String, Value>,
    choices: Vec<Value>,
    tokens: u64,
}

impl AnswerAssembler {
    /// Adds one event. Events that aren't JSON objects are ignored.
    pub fn push(&mut self, event: &Bytes) {
        let Ok(Value::Object(mut chunk)) = serde_json::from_slice(EventSplitter::data(event)) else { return };
        if let Some(Value::Array(choices)) = chunk.remove("choices") {
            self.tokens += 1;
            for choice in choices {
                self.push_choice(choice);
            }
        }
        for (name, value) in chunk {
            if !value.is_null() {
                self.head.insert(name, value);
            }
        }
    }

    fn push_choice(&mut self, mut choice: Value) {
        if let Some(fields) = choice.as_object_mut() {
            if let Some(delta) = fields.remove("delta") {
                fields.insert("message".into(), delta);
            }
        }
        match self.choices.iter_mut().find(|c| c["index"] == choice["index"]) {
            Some(known) => merge(known, choice),
            None => self.choices.push(choice),
        }
    }

    /// Returns the complete answer.
    #[must_use]
    pub fn finish(mut self) -> Value {
        if let Some(Value::String(object)) = self.head.get_mut("object") {
            *object = object.trim_end_matches(".chunk").to_owned();
        }
        for choice in &mut self.choices {
            let message = choice.get_mut("message").and_then(Value::as_object_mut);
            if let Some(message) = message {
                message.entry("role").or_insert_with(|| json!("assistant"));
            }
        }
        self.head.insert("choices".into(), Value::Array(self.choices));
        self.head.entry("usage").or_insert_with(|| json!({"completion_tokens": self.tokens.saturating_sub(1)}));
        Value::Object(self.head)
    }
}

/// Merges a chunk into the answer: strings are concatenated, objects and indexed lists are merged, other values are
/// replaced.
fn merge(old: &mut Value, new: Value) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, value) in new {
                let fixed = matches!(name.as_str(), "index" | "role" | "id" | "type" | "finish_reason");
                match old.get_mut(&name) {
                    Some(known) if !fixed => merge(known, value),
                    _ if value.is_null() => {}
                    _ => {
                        old.insert(name, value);
                    }
                }
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            for item in new {
                match old.iter_mut().find(|o| !o["index"].is_null() && o["index"] == item["index"]) {
                    Some(known) => merge(known, item),
                    None => old.push(item),
                }
            }
        }
        (Value::String(old), Value::String(new)) => old.push_str(&new),
        (_, Value::Null) => {}
        (old, new) => *old = new,
    }
}
